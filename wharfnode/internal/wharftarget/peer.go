package wharftarget

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ragwortwharf.dev/wharf/wharfhome"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharf/wharfwire"
)

// Consult answers a question about a key and closes it here.
func (s *Server) Consult(_ context.Context, r *wharfwire.ConsultRequest) (*wharfwire.ConsultResponse, error) {
	if r.GetIncarnation() != s.View.Incarnation() {
		return nil, status.Error(codes.FailedPrecondition, "this life of the node does not have the records asked for")
	}
	id := wharfhome.KeyID{Service: r.GetService(), Caller: r.GetCaller(), Key: r.GetKey()}
	offset := max(r.GetStateOffset(), s.View.State().Offset())
	return packEntry(s.Keys.Close(time.Now(), id, offset)), nil
}

// Suspect takes what another node knows of requests that crash targets.
func (s *Server) Suspect(_ context.Context, r *wharfwire.SuspectRequest) (*wharfwire.SuspectResponse, error) {
	MergeSuspicions(s.Quarantine, r.GetSuspicions())
	return &wharfwire.SuspectResponse{}, nil
}

// HandOver takes the records of keys of a home that is leaving.
func (s *Server) HandOver(_ context.Context, r *wharfwire.HandOverRequest) (*wharfwire.HandOverResponse, error) {
	for _, k := range r.GetRecords() {
		x := wharfhome.Exported{
			ID: wharfhome.KeyID{Service: k.GetService(), Caller: k.GetCaller(), Key: k.GetKey()},
			Entry: wharfhome.Entry{
				State:       wharfhome.State(k.GetState()),
				Fingerprint: k.GetFingerprint(),
				Answer:      UnpackAnswer(k.GetAnswer()),
				Changed:     time.Now().Add(-time.Duration(k.GetAgeMs()) * time.Millisecond),
			},
		}
		s.Keys.Import(x)
		s.joiners.wake(x.ID)
	}
	return &wharfwire.HandOverResponse{Accepted: uint32(len(r.GetRecords()))}, nil
}

// PackSuspicions returns the message form of quarantine entries.
func PackSuspicions(now time.Time, entries []wharfquarantine.Entry, cleared []wharfquarantine.Fingerprint) []*wharfwire.Suspicion {
	out := make([]*wharfwire.Suspicion, 0, len(entries)+len(cleared))
	for _, e := range entries {
		out = append(out, &wharfwire.Suspicion{
			Fingerprint: uint64(e.Fingerprint), Crashes: e.Crashes,
			Quarantined: e.Quarantined, TtlMs: e.Expires.Sub(now).Milliseconds(),
		})
	}
	for _, fp := range cleared {
		out = append(out, &wharfwire.Suspicion{Fingerprint: uint64(fp), Cleared: true})
	}
	return out
}

// MergeSuspicions takes the message form of quarantine entries and returns
// those that were news.
func MergeSuspicions(l *wharfquarantine.List, suspicions []*wharfwire.Suspicion) []wharfquarantine.Entry {
	now := time.Now()
	var news []wharfquarantine.Entry
	for _, x := range suspicions {
		if x.GetCleared() {
			l.Succeeded(wharfquarantine.Fingerprint(x.GetFingerprint()))
			continue
		}
		e, isNew := l.Merge(now, wharfquarantine.Entry{
			Fingerprint: wharfquarantine.Fingerprint(x.GetFingerprint()),
			Crashes:     x.GetCrashes(),
			Quarantined: x.GetQuarantined(),
			Expires:     now.Add(time.Duration(x.GetTtlMs()) * time.Millisecond),
		})
		if isNew {
			news = append(news, e)
		}
	}
	return news
}
