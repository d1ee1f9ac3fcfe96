package retry

import (
	"maps"
	"time"
)

// The slack of the bounds is divided evenly over the gateways, but their streams are not: a balancer that hashes
// clients gives some gateways several times as many as others, and all streams of a lost zone need a token at the same
// moment. A gateway without tokens therefore asks the others in the exchanges that it makes anyway. Tokens leave the
// giver before the message is sent and are not given back: one that is lost with a message is never used twice, so
// that the bounds hold whatever the network does.

const (
	// needTTL is how long a stream counts as waiting for a token after it last asked for one. Streams ask again each
	// 40 ms.
	needTTL = 250 * time.Millisecond
	// keptShare is the share of its capacity that a gateway never gives away, and keptTokens the least number that it
	// keeps: the next fault may strike its own streams.
	keptShare  = 0.5
	keptTokens = 1.0
	// maxTransfer bounds the tokens of one message.
	maxTransfer = 64
)

// OnShortage records that a stream that has run waits for a token. The id identifies the stream.
func (b *SharedBudget) OnShortage(now time.Time, id string) {
	if b.waiting == nil {
		b.waiting = map[string]time.Time{}
	}
	b.waiting[id] = now
	b.expireWaiting(now)
}

func (b *SharedBudget) expireWaiting(now time.Time) {
	maps.DeleteFunc(b.waiting, func(_ string, at time.Time) bool { return now.Sub(at) > needTTL })
}

// Wanted returns the number of tokens that streams wait for and that the budget can hold.
func (b *SharedBudget) Wanted(now time.Time) int {
	b.expireWaiting(now)
	room := int(b.capacity() - b.tokens)
	return max(0, min(len(b.waiting), room, maxTransfer))
}

// Give takes up to wanted tokens out of the budget for another gateway and returns their number. It gives none while
// own streams wait for tokens, so that two gateways in need do not exchange tokens back and forth.
func (b *SharedBudget) Give(now time.Time, wanted int) int {
	if wanted <= 0 || b.Wanted(now) > 0 {
		return 0
	}
	spare := int(b.tokens - max(keptTokens, keptShare*b.capacity()))
	given := max(0, min(wanted, maxTransfer, spare))
	b.tokens -= float64(given)
	return given
}

// Receive adds tokens that another gateway gave, up to the capacity. The sum over all gateways thus stays within the
// sum of their capacities.
func (b *SharedBudget) Receive(tokens int) {
	b.tokens = min(b.capacity(), b.tokens+float64(max(0, tokens)))
}
