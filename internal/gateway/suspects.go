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
	recent, _ := limitSuspects(st.suspects.Changes(st.suspectExchange.pushAfter[0], now))
	addSuspects(msg, recent, now)
}

// addUnsentSuspects is addRecentSuspects for the gateway that this one follows: it adds those that
// changed since that gateway last answered.
func (st *state) addUnsentSuspects(msg *wire.GatewayState, address string, now time.Time) {
	x := &st.suspectExchange
	merged := x.merged[address]
	msg.SuspectSummary = &wire.SuspectSummary{
		Digest: st.suspects.Digest(), KnownVersion: merged.version, KnownIncarnation: merged.incarnation,
	}
	unsent, all := limitSuspects(st.suspects.Changes(x.sent[address], now))
	x.sending = st.suspects.Version()
	if !all {
		x.sending = x.sent[address]
	}
	addSuspects(msg, unsent, now)
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
		addSuspects(msg, st.suspects.Export(now), now)
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
	missing, all := limitSuspects(st.suspects.Changes(since, now))
	if !all {
		msg.SuspectSummary.Version = 0
	}
	addSuspects(msg, missing, now)
}

// recordMergedSuspects records that the answer of the gateway at an address has been merged.
func (st *state) recordMergedSuspects(answer *wire.GatewayState, address string) {
	if summary := answer.SuspectSummary; summary != nil && summary.Version > 0 {
		st.suspectExchange.merged[address] = mergedSuspects{answer.Incarnation, summary.Version}
	}
}

// limitSuspects returns at most maxSuspectsPerMessage of the records and whether these are all.
// Which ones is random, so that a gateway that lacks many gets all of them from several answers.
func limitSuspects(records []suspect.Record) ([]suspect.Record, bool) {
	if len(records) <= maxSuspectsPerMessage {
		return records, true
	}
	rand.Shuffle(len(records), func(i, j int) { records[i], records[j] = records[j], records[i] })
	return records[:maxSuspectsPerMessage], false
}

// addSuspects adds records to a message. Between gateways, ExpiresUnixMs carries the remaining time
// in milliseconds.
func addSuspects(msg *wire.GatewayState, records []suspect.Record, now time.Time) {
	for _, r := range records {
		remaining := r.Expires.Sub(now).Milliseconds()
		if len(r.Deaths) > 0 {
			msg.Suspects = append(msg.Suspects, &wire.SuspectCount{Fingerprint: r.Fingerprint, DeathIds: r.Deaths, ExpiresUnixMs: remaining})
		}
		if len(r.Cleared) > 0 {
			msg.Suspects = append(msg.Suspects, &wire.SuspectCount{Fingerprint: r.Fingerprint, DeathIds: r.Cleared, ExpiresUnixMs: remaining, Cleared: true})
		}
	}
}
