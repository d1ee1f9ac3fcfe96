package gateway

import (
	"math/rand/v2"
	"time"

	"bramleygap/internal/core/suspect"
	"bramleygap/internal/wire"
)

const (
	// suspectPushRounds is the number of exchange rounds in which a changed suspect is sent without
	// being asked for: with exchangeFanout gateways each, enough to start its spread everywhere.
	// Gateways that it does not reach see by the digest that they lack it.
	suspectPushRounds = 5
	// maxSuspectsPerMessage bounds the suspects of one message, at about 60 bytes each, so that an
	// exchange completes within its timeout over a link of 10 Mbit/s.
	maxSuspectsPerMessage = 500
)

// suspectExchange is what a gateway knows of the suspects that others have and lack.
type suspectExchange struct {
	// merged holds for each gateway, by address, the version of its suspects that is merged.
	merged map[string]mergedSuspects
	// pushAfter holds the versions of the own suspects at the last rounds, oldest first.
	pushAfter [suspectPushRounds]uint64
	// sent holds for each gateway that this one follows, by address, the version of the own suspects that
	// it has got, and sending the version that the current request to it carries.
	sent    map[string]uint64
	sending uint64
}

type mergedSuspects struct{ incarnation, version uint64 }

// beginSuspectRound is called at the start of an exchange round.
func (st *state) beginSuspectRound() {
	x := &st.suspectExchange
	copy(x.pushAfter[:], x.pushAfter[1:])
	x.pushAfter[suspectPushRounds-1] = st.suspects.Version()
}

// addRecentSuspects adds the suspects that changed in the last rounds to a request, and asks for
// those that the gateway at an address has and this one lacks.
func (st *state) addRecentSuspects(msg *wire.GatewayState, address string, now time.Time) {
	merged := st.suspectExchange.merged[address]
	msg.SuspectSummary = &wire.SuspectSummary{
		Digest: st.suspects.Digest(), KnownVersion: merged.version, KnownIncarnation: merged.incarnation,
	}
	recent, _ := st.suspectsSince(st.suspectExchange.pushAfter[0], now)
	recent.addTo(msg, now)
}

// addUnsentSuspects is addRecentSuspects for the gateway that this one follows: it adds those that
// changed since that gateway last answered.
func (st *state) addUnsentSuspects(msg *wire.GatewayState, address string, now time.Time) {
	x := &st.suspectExchange
	merged := x.merged[address]
	msg.SuspectSummary = &wire.SuspectSummary{
		Digest: st.suspects.Digest(), KnownVersion: merged.version, KnownIncarnation: merged.incarnation,
	}
	unsent, all := st.suspectsSince(x.sent[address], now)
	x.sending = st.suspects.Version()
	if !all {
		x.sending = x.sent[address]
	}
	unsent.addTo(msg, now)
}

// recordSentSuspects records that the gateway at an address, which this one follows, has answered.
func (st *state) recordSentSuspects(address string) {
	st.suspectExchange.sent[address] = st.suspectExchange.sending
}

// addMissingSuspects adds the suspects that the sender of a request lacks to the answer: none if
// both have the same, otherwise those that changed since it last had all of them.
func (st *state) addMissingSuspects(msg, request *wire.GatewayState, now time.Time) {
	asked := request.SuspectSummary
	if asked == nil {
		// A gateway of an earlier version takes all suspects from each message.
		suspectBatch{requests: st.suspects.Export(now)}.addTo(msg, now)
		return
	}
	msg.SuspectSummary = &wire.SuspectSummary{Digest: st.suspects.Digest(), Version: st.suspects.Version()}
	if asked.Digest == msg.SuspectSummary.Digest {
		return
	}
	since := asked.KnownVersion
	if asked.KnownIncarnation != msg.Incarnation {
		since = 0
	}
	missing, all := st.suspectsSince(since, now)
	if !all {
		msg.SuspectSummary.Version = 0
	}
	missing.addTo(msg, now)
}

// recordMergedSuspects records that the answer of the gateway at an address has been merged.
func (st *state) recordMergedSuspects(answer *wire.GatewayState, address string) {
	if summary := answer.SuspectSummary; summary != nil && summary.Version > 0 {
		st.suspectExchange.merged[address] = mergedSuspects{answer.Incarnation, summary.Version}
	}
}

// suspectBatch is what one message carries of the suspects: requests and prompt parts.
type suspectBatch struct {
	requests []suspect.Record
	parts    []suspect.PartRecord
}

// suspectsSince returns the suspects that changed after a version, and whether these are all.
func (st *state) suspectsSince(version uint64, now time.Time) (suspectBatch, bool) {
	requests, allRequests := limitSuspects(st.suspects.Changes(version, now))
	parts, allParts := limitSuspects(st.suspects.PartChanges(version))
	return suspectBatch{requests, parts}, allRequests && allParts
}

// limitSuspects returns at most maxSuspectsPerMessage of the records and whether these are all.
// Which ones is random, so that a gateway that lacks many gets all of them from several answers.
func limitSuspects[T any](records []T) ([]T, bool) {
	if len(records) <= maxSuspectsPerMessage {
		return records, true
	}
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	return records[:maxSuspectsPerMessage], false
}

// addTo adds the batch to a message.
func (b suspectBatch) addTo(msg *wire.GatewayState, now time.Time) {
	msg.Suspects = append(msg.Suspects, encodeSuspects(b.requests, now)...)
	msg.Parts = append(msg.Parts, encodeParts(b.parts, now)...)
}

// encodeSuspects encodes records for another gateway or the store, where ExpiresUnixMs carries the
// remaining time in milliseconds.
func encodeSuspects(records []suspect.Record, now time.Time) []*wire.SuspectCount {
	var list []*wire.SuspectCount
	for _, r := range records {
		remaining := r.Expires.Sub(now).Milliseconds()
		if len(r.Deaths) > 0 {
			count := &wire.SuspectCount{Fingerprint: r.Fingerprint, DeathIds: r.Deaths, ExplainedIds: r.Explained, ExpiresUnixMs: remaining, Known: r.Known}
			for i, at := range r.At {
				count.AgesMs = append(count.AgesMs, uint64(max(0, now.Sub(at).Milliseconds())))
				count.RunsMs = append(count.RunsMs, uint64(max(0, r.Runs[i].Milliseconds())))
				count.FlowsMs = append(count.FlowsMs, uint64(max(0, r.Flows[i].Milliseconds())))
			}
			list = append(list, count)
		}
		if len(r.Cleared) > 0 {
			list = append(list, &wire.SuspectCount{Fingerprint: r.Fingerprint, DeathIds: r.Cleared, ExpiresUnixMs: remaining, Cleared: true, Known: r.Known})
		}
	}
	return list
}

// decodeSuspects decodes the records that were encoded at a time of this process's clock.
func decodeSuspects(list []*wire.SuspectCount, encodedAt time.Time) []suspect.Record {
	records := make([]suspect.Record, 0, len(list))
	for _, s := range list {
		r := suspect.Record{Fingerprint: s.Fingerprint, Expires: encodedAt.Add(time.Duration(s.ExpiresUnixMs) * time.Millisecond), Known: s.Known}
		if s.Cleared {
			r.Cleared = s.DeathIds
		} else {
			r.Deaths, r.Explained = s.DeathIds, s.ExplainedIds
			for _, age := range s.AgesMs {
				r.At = append(r.At, encodedAt.Add(-decodeMS(age)))
			}
			for _, run := range s.RunsMs {
				r.Runs = append(r.Runs, decodeMS(run))
			}
			for _, flow := range s.FlowsMs {
				r.Flows = append(r.Flows, decodeMS(flow))
			}
		}
		records = append(records, r)
	}
	return records
}
