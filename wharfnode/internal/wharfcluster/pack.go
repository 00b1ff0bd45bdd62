package wharfcluster

import (
	"math"
	"time"

	"ragwortwharf.dev/wharf/wharfmember"
	"ragwortwharf.dev/wharf/wharfstream"
	"ragwortwharf.dev/wharf/wharfwire"
)

func packMember(m wharfmember.Member) *wharfwire.Member {
	out := &wharfwire.Member{
		Node: m.Node, Incarnation: m.Incarnation, Version: m.Version, Address: m.Address,
		FailureDomain: m.FailureDomain, Region: m.Region, State: uint32(m.State),
	}
	for _, t := range m.Targets {
		out.Targets = append(out.Targets, &wharfwire.TargetState{
			Service: t.Service, Address: t.Address, Slots: uint32(t.Slots), Labels: t.Labels, Leaving: t.Leaving,
		})
	}
	for _, shard := range m.QuotaShards {
		out.QuotaShards = append(out.QuotaShards, uint32(shard))
	}
	return out
}

func packMembers(members []wharfmember.Member) []*wharfwire.Member {
	out := make([]*wharfwire.Member, len(members))
	for i, m := range members {
		out[i] = packMember(m)
	}
	return out
}

func unpackMembers(members []*wharfwire.Member) []wharfmember.Member {
	out := make([]wharfmember.Member, len(members))
	for i, m := range members {
		out[i] = wharfmember.Member{
			Node: m.GetNode(), Incarnation: m.GetIncarnation(), Version: m.GetVersion(), Address: m.GetAddress(),
			FailureDomain: m.GetFailureDomain(), Region: m.GetRegion(), State: wharfmember.State(min(m.GetState(), math.MaxUint8)),
		}
		for _, t := range m.GetTargets() {
			out[i].Targets = append(out[i].Targets, wharfmember.Target{
				Service: t.GetService(), Address: t.GetAddress(), Slots: int(t.GetSlots()),
				Labels: t.GetLabels(), Leaving: t.GetLeaving(),
			})
		}
		for _, shard := range m.GetQuotaShards() {
			out[i].QuotaShards = append(out[i].QuotaShards, int(shard))
		}
	}
	return out
}

func packRecords(records []wharfstream.Record) []*wharfwire.LogRecord {
	out := make([]*wharfwire.LogRecord, len(records))
	for i, r := range records {
		out[i] = &wharfwire.LogRecord{Offset: r.Offset, TimeUnixMs: r.Time.UnixMilli(), Data: r.Data}
	}
	return out
}

func unpackRecords(records []*wharfwire.LogRecord) []wharfstream.Record {
	out := make([]wharfstream.Record, len(records))
	for i, r := range records {
		out[i] = wharfstream.Record{Offset: r.GetOffset(), Time: time.UnixMilli(r.GetTimeUnixMs()), Data: r.GetData()}
	}
	return out
}

func digests(buckets []uint64) *wharfmember.Digests {
	var d wharfmember.Digests
	copy(d[:], buckets)
	return &d
}
