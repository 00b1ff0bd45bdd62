package wharftarget

import (
	"context"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"ragwortwharf.dev/wharf/wharfidempotency"
	"ragwortwharf.dev/wharf/wharfquarantine"
	"ragwortwharf.dev/wharf/wharfwire"
	"ragwortwharf.dev/wharfnode/wharfevents"
)

// Consult returns this node's entry of a key. If no request with the key was dispatched
// here, Consult closes the key, so that none will be unless this node becomes the
// owner again. It returns an error if the request is for another incarnation of this
// node, because this one does not have its entries.
func (s *Server) Consult(_ context.Context, r *wharfwire.ConsultRequest) (*wharfwire.ConsultResponse, error) {
	if r.GetIncarnation() != s.View.Incarnation() {
		// The text stays as it is: it goes out to peers. A life is an incarnation.
		return nil, status.Error(codes.FailedPrecondition, "this life of the node does not have the records asked for")
	}
	id := wharfidempotency.KeyID{Service: r.GetService(), Caller: r.GetCaller(), Key: r.GetKey()}
	offset := max(r.GetStateOffset(), s.View.State().Offset())
	return packKeyEntry(s.Keys.Close(time.Now(), id, offset)), nil
}

// Suspect merges the suspicions of another node about requests that crash targets.
func (s *Server) Suspect(_ context.Context, r *wharfwire.SuspectRequest) (*wharfwire.SuspectResponse, error) {
	MergeSuspicions(s.Quarantine, s.Log, r.GetSuspicions())
	return &wharfwire.SuspectResponse{}, nil
}

// HandOver imports the key entries of an owner that is leaving.
func (s *Server) HandOver(_ context.Context, r *wharfwire.HandOverRequest) (*wharfwire.HandOverResponse, error) {
	for _, k := range r.GetRecords() {
		x := wharfidempotency.ExportedKey{
			ID: wharfidempotency.KeyID{Service: k.GetService(), Caller: k.GetCaller(), Key: k.GetKey()},
			Entry: wharfidempotency.KeyEntry{
				State:       wharfidempotency.State(k.GetState()),
				Fingerprint: k.GetFingerprint(),
				Response:    UnpackResponse(k.GetAnswer()),
				Changed:     time.Now().Add(-wharfwire.Duration(k.GetAgeMs())),
			},
		}
		s.Keys.Import(x)
		s.joiners.wake(x.ID)
	}
	return &wharfwire.HandOverResponse{}, nil
}

// PackSuspicions returns the message form of quarantine entries.
func PackSuspicions(now time.Time, entries []wharfquarantine.Entry) []*wharfwire.Suspicion {
	out := make([]*wharfwire.Suspicion, 0, len(entries))
	for _, e := range entries {
		out = append(out, &wharfwire.Suspicion{
			Fingerprint: uint64(e.Fingerprint), Crashes: packCrashes(e.Crashes),
			Quarantined: e.Quarantined, TtlMs: e.Expires.Sub(now).Milliseconds(),
		})
	}
	return out
}

func packCrashes(crashes []wharfquarantine.Crash) []*wharfwire.Crash {
	out := make([]*wharfwire.Crash, 0, len(crashes))
	for _, c := range crashes {
		out = append(out, &wharfwire.Crash{
			Target: c.Target, Incarnation: c.Incarnation, Number: uint32(c.Number), Forgiven: c.Cleared,
		})
	}
	return out
}

func unpackCrashes(crashes []*wharfwire.Crash) []wharfquarantine.Crash {
	out := make([]wharfquarantine.Crash, 0, len(crashes))
	for _, c := range crashes {
		id := wharfquarantine.CrashID{Target: c.GetTarget(), Incarnation: c.GetIncarnation(), Number: int(c.GetNumber())}
		out = append(out, wharfquarantine.Crash{CrashID: id, Cleared: c.GetForgiven()})
	}
	return out
}

// MergeSuspicions merges quarantine entries in their message form into a list, and logs
// the requests that are quarantined because of them.
func MergeSuspicions(l *wharfquarantine.List, log wharfevents.Log, suspicions []*wharfwire.Suspicion) {
	now := time.Now()
	for _, x := range suspicions {
		e := wharfquarantine.Entry{
			Fingerprint: wharfquarantine.Fingerprint(x.GetFingerprint()),
			Crashes:     unpackCrashes(x.GetCrashes()),
			Quarantined: x.GetQuarantined(),
			Expires:     now.Add(wharfwire.Duration(x.GetTtlMs())),
		}
		if l.Merge(now, e) {
			log.Emit(wharfevents.QuarantineReceived, fingerprintField(e.Fingerprint))
		}
	}
}

// requestField returns a log field with the id of the request of the call.
func (c *call) requestField() wharfevents.Field {
	return wharfevents.Field{Name: "request", Value: c.head.GetRequestId()}
}

func fingerprintField(f wharfquarantine.Fingerprint) wharfevents.Field {
	return wharfevents.Field{Name: "fingerprint", Value: f.String()}
}
