package precedence

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// waitFraction is the fraction of its objective that new work waits for a place. From agingFraction on it counted
	// as of the highest rank; what is left is for another gateway.
	waitFraction = 0.75
	// ranWait is how long work that has run waits for a target on which to continue if its caller has events, and thus
	// sees a pause.
	ranWait = 3 * time.Second
	// turnWindow is the time over which the tokens of an account's placed work are counted.
	turnWindow = 10 * time.Second
	// agedTurn is the number of places in a row that may go to other work while work of a lower rank waits that has
	// aged: the next one is for that. Without it, the highest rank alone could take all places until such work is
	// refused, since its objectives are nearer.
	agedTurn = 3
	// stallTime is how long nothing is placed, while aged work finds no room, until such work may use the room that is
	// kept for higher ranks. Without it, room that is kept for work that no target can take would be kept until all
	// other work is refused. It is shorter than the time from aging to the refusal, which is 1 s with an objective of
	// 4 s.
	stallTime = 700 * time.Millisecond
	// freedWindow is the time over which the rate is taken at which memory becomes free.
	freedWindow = 5 * time.Second
	// reportMaxAge is the age beyond which another gateway's report of waiting work does not count.
	reportMaxAge = 2 * time.Second
	// maxReportedRanks bounds the ranks in a report, the highest first.
	maxReportedRanks = 16
	// maxTries bounds the works that are offered for placement in one pass.
	maxTries = 64
	// orderedTries bounds those offered in their order. The other tries are for the works that were offered least
	// recently, and for blocked ones. Without them, works that find no place would hold up those behind them.
	orderedTries = maxTries / 2
	// minRetryDelay is the least delay to state in a refusal, without its random part. A lost target recovers or is
	// replaced within seconds.
	minRetryDelay = 800 * time.Millisecond
	// retryFraction is the largest part of a caller's remaining time that the delay may take without its random part,
	// which is as long: callers honour at most a third.
	retryFraction = 1.0 / 6
)

// Waiting is a work in a Queue.
type Waiting struct {
	ID uint64
	// Account takes its turn among the accounts of its rank.
	Account string
	Work    Work
	// Class is the same for works that can be placed at the same targets, 0 if nothing is known.
	Class uint64
	// since is when the work was enqueued.
	since time.Time
	// blocked is set while something else than room keeps the work waiting.
	blocked bool
	// turn is what the account has been given lately, and pass the last pass in which the work was offered.
	turn int
	pass uint64
}

// Placing is the result of an offer to place a work.
type Placing int

// Results of offers.
const (
	// Placed means that the work has a place; it leaves the queue.
	Placed Placing = iota + 1
	// NoRoom means that no target has room for the work.
	NoRoom
	// Blocked means that something else than room is missing.
	Blocked
	// Dropped means that the work has ended otherwise; it leaves the queue.
	Dropped
)

// Reason is why a work is refused.
type Reason int

// Reasons.
const (
	// TooLate means that the work has not run and cannot end before its deadline any more.
	TooLate Reason = iota + 1
	// WaitedTooLong means that the work found no place within the time that it may wait.
	WaitedTooLong
)

// String returns the reason as a metric label.
func (r Reason) String() string {
	if r == TooLate {
		return "too_late"
	}
	return "waited"
}

// Refusal is a work that leaves the queue without a place.
type Refusal struct {
	ID     uint64
	Reason Reason
	// Delay is when the caller may come back.
	Delay time.Duration
}

// RankLoad is the work of one rank that waits at a gateway.
type RankLoad struct {
	Rank            Rank
	Streams, Tokens int
	// Oldest is the longest wait.
	Oldest time.Duration
}

// Queue holds the works of one service that wait for a place at this gateway, and what other gateways reported. It
// is not safe for concurrent use.
type Queue struct {
	rng     *rand.Rand
	waiting []*Waiting
	// given holds the tokens of the placed works by account.
	given map[string]*window
	freed window
	peers map[string]peerReport
	// passedAged counts the places in a row that went to other work while aged work of a lower rank waited.
	passedAged int
	pass       uint64
	// largest is the most memory of a target, 0 if it is not known.
	largest int
	// stalledSince is when aged work found no room for the first time since the last place was given, zero if it has
	// not.
	stalledSince time.Time
}

type peerReport struct {
	at    time.Time
	loads []RankLoad
}

// NewQueue returns an empty queue.
func NewQueue(rng *rand.Rand) *Queue {
	return &Queue{rng: rng, given: map[string]*window{}, peers: map[string]peerReport{}}
}

// Len returns the number of waiting works.
func (q *Queue) Len() int { return len(q.waiting) }

// Enqueue adds a work. It returns false if there are limit works already.
func (q *Queue) Enqueue(now time.Time, w Waiting, limit int) bool {
	if len(q.waiting) >= limit {
		return false
	}
	w.since, w.pass = now, q.pass
	q.waiting = append(q.waiting, &w)
	return true
}

// Remove removes a work, if it still waits.
func (q *Queue) Remove(id uint64) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiting) bool { return w.ID == id })
}

// Rerank replaces the ranks of the waiting works.
func (q *Queue) Rerank(rank func(id uint64) Rank) {
	for _, w := range q.waiting {
		w.Work.Rank = rank(w.ID)
	}
}

// SetLargest sets the most memory that a target has, 0 if it is not known. A larger work waits for one whole target,
// so that no more memory is kept for it.
func (q *Queue) SetLargest(tokens int) { q.largest = tokens }

// kept returns the tokens of memory to be kept for works with a number of tokens together.
func (q *Queue) kept(works, tokens int) int {
	if q.largest > 0 {
		return min(tokens, works*q.largest)
	}
	return tokens
}

// Reclass replaces the classes of the waiting works.
func (q *Queue) Reclass(class func(id uint64) uint64) {
	for _, w := range q.waiting {
		w.Class = class(w.ID)
	}
}

// SetPeer replaces the report of another gateway.
func (q *Queue) SetPeer(now time.Time, peer string, loads []RankLoad) {
	if len(loads) == 0 {
		delete(q.peers, peer)
		return
	}
	q.peers[peer] = peerReport{now, loads}
}

// Loads returns the waiting works by rank, the highest first, to be reported to the other gateways.
func (q *Queue) Loads(now time.Time) []RankLoad {
	byRank := map[Rank]RankLoad{}
	for _, w := range q.waiting {
		if w.blocked {
			continue
		}
		load := byRank[w.Work.Rank]
		load.Rank, load.Streams, load.Tokens = w.Work.Rank, load.Streams+1, load.Tokens+q.kept(1, w.Work.Tokens())
		load.Oldest = max(load.Oldest, now.Sub(w.Work.Arrived))
		byRank[load.Rank] = load
	}
	loads := slices.SortedFunc(maps.Values(byRank), func(a, b RankLoad) int { return a.Rank.Compare(b.Rank) })
	return loads[:min(len(loads), maxReportedRanks)]
}

// Offer says on which terms a work may be placed.
type Offer struct {
	// AsHighest is set if it has the rights of the highest rank: it is of it, or it has aged and it is its turn.
	AsHighest bool
	// Higher is the number of tokens that works of higher ranks wait for, here and at other gateways.
	Higher int
}

// offer returns the terms for a work.
func (q *Queue) offer(now time.Time, work *Work, asHighest bool) Offer {
	c := Offer{AsHighest: asHighest}
	rank := work.EffectiveRank(now)
	for _, w := range q.waiting {
		if !w.blocked && w.Work.EffectiveRank(now).Compare(rank) < 0 {
			c.Higher += q.kept(1, w.Work.Tokens())
		}
	}
	for _, report := range q.peers {
		if now.Sub(report.at) > reportMaxAge {
			continue
		}
		for _, load := range report.loads {
			if load.Rank.Compare(rank) < 0 {
				c.Higher += q.kept(load.Streams, load.Tokens)
			}
		}
	}
	return c
}

// roomClass is the same for works that find room at the same targets.
type roomClass struct {
	class   uint64
	rank    Rank
	highest bool
}

// Dispatch offers the waiting works in their order to place, which is told the terms. Works that need at least the
// room that one of their class and rank did not find are not offered.
func (q *Queue) Dispatch(now time.Time, place func(*Waiting, Offer) Placing) {
	q.pass++
	for _, w := range q.waiting {
		w.turn = q.given[w.Account].sum(now, turnWindow)
	}
	// lacking holds the smallest work of each class and rank that found no room. A higher rank may have room where a
	// lower one that goes first, since it has aged, has none.
	lacking := map[roomClass]int{}
	var passed []*Waiting
	rotating := false
	for try := 0; try < maxTries; try++ {
		rotating = rotating || try >= orderedTries
		agedFirst := q.passedAged >= agedTurn
		class := func(w *Waiting) roomClass {
			return roomClass{w.Class, w.Work.Rank, w.Work.Rank == Rank{} || agedFirst && w.aged(now)}
		}
		admits := func(w *Waiting) bool {
			tokens, known := lacking[class(w)]
			return w.pass < q.pass && (rotating || !w.blocked) && (!known || w.Work.Tokens() < tokens)
		}
		w := q.next(now, agedFirst, rotating, admits)
		if w == nil && !rotating {
			rotating = true
			w = q.next(now, agedFirst, rotating, admits)
		}
		if w == nil {
			return
		}
		w.pass, w.blocked = q.pass, false
		offer := q.offer(now, &w.Work, class(w).highest)
		stalled := !q.stalledSince.IsZero() && now.Sub(q.stalledSince) >= stallTime
		if !offer.AsHighest && w.aged(now) && !stalled {
			offer.Higher += q.above(passed, w.Work.Rank)
		}
		switch place(w, offer) {
		case Placed:
			q.Remove(w.ID)
			q.charge(now, w)
		case Dropped:
			q.Remove(w.ID)
		case NoRoom:
			passed = append(passed, w)
			if q.stalledSince.IsZero() && w.aged(now) {
				q.stalledSince = now
			}
			if w.Class != 0 {
				lacking[class(w)] = w.Work.Tokens()
			}
		case Blocked:
			w.blocked = true
		}
	}
}

// above returns the tokens of those works that found no room in a pass whose own rank is higher than a given one. Work
// that has aged leaves them room too if they go before it: small works would otherwise take the memory that becomes free
// piece by piece.
func (q *Queue) above(passed []*Waiting, rank Rank) int {
	tokens := 0
	for _, w := range passed {
		if w.Work.Rank.Compare(rank) < 0 {
			tokens += q.kept(1, w.Work.Tokens())
		}
	}
	return tokens
}

// next returns the work that goes first among the admitted ones, nil if there is none. If rotating is set, it is among
// those that were offered least recently.
func (q *Queue) next(now time.Time, agedFirst, rotating bool, admits func(*Waiting) bool) *Waiting {
	var first, firstAged *Waiting
	better := func(w, than *Waiting) bool {
		if rotating && than != nil && w.pass != than.pass {
			return w.pass < than.pass
		}
		return than == nil || compare(now, &w.Work, &than.Work, cmp.Compare(w.turn, than.turn)) < 0
	}
	for _, w := range q.waiting {
		if !admits(w) {
			continue
		}
		if better(w, first) {
			first = w
		}
		if w.aged(now) && better(w, firstAged) {
			firstAged = w
		}
	}
	if firstAged != nil && agedFirst {
		return firstAged
	}
	return first
}

// aged reports whether a work counts as of a higher rank than its own.
func (w *Waiting) aged(now time.Time) bool { return w.Work.EffectiveRank(now) != w.Work.Rank }

// charge records that a work was placed.
func (q *Queue) charge(now time.Time, w *Waiting) {
	given := q.given[w.Account]
	if given == nil {
		given = &window{}
		q.given[w.Account] = given
	}
	given.add(now, w.Work.Tokens())
	q.stalledSince = time.Time{}
	q.passedAged++
	if w.aged(now) || !slices.ContainsFunc(q.waiting, func(other *Waiting) bool { return other.aged(now) }) {
		q.passedAged = 0
	}
}

// Freed records that tokens of this gateway's works became free in the memory of targets.
func (q *Queue) Freed(now time.Time, tokens int) {
	q.freed.add(now, tokens)
	q.freed.sum(now, freedWindow)
}

// Expire removes the works that can no longer be served in time or have waited too long, and drops what is too old to
// count.
func (q *Queue) Expire(now time.Time) []Refusal {
	var refusals []Refusal
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Waiting) bool {
		reason := w.overdue(now)
		if reason != 0 {
			refusals = append(refusals, Refusal{ID: w.ID, Reason: reason, Delay: q.RetryDelay(now, &w.Work)})
		}
		return reason != 0
	})
	for account, given := range q.given {
		if given.sum(now, turnWindow) == 0 {
			delete(q.given, account)
		}
	}
	maps.DeleteFunc(q.peers, func(_ string, report peerReport) bool { return now.Sub(report.at) > reportMaxAge })
	return refusals
}

// overdue returns why a work has to be refused, 0 if it has not.
func (w *Waiting) overdue(now time.Time) Reason {
	switch {
	// Some more events are of use to a caller that has some already.
	case !w.Work.Continues() && w.Work.EarliestEnd(now).After(w.Work.Deadline):
		return TooLate
	case !now.Before(w.waitsUntil()):
		return WaitedTooLong
	}
	return 0
}

// waitsUntil returns when the wait ends.
func (w *Waiting) waitsUntil() time.Time {
	switch {
	case w.Work.Ran:
		return w.Work.RanUntil(w.since)
	case w.Work.Objective <= 0:
		return w.Work.Deadline
	}
	return w.Work.Arrived.Add(time.Duration(waitFraction * float64(w.Work.Objective)))
}

// NextCheck returns when a work has to be refused or changes its rank, zero if nothing waits.
func (q *Queue) NextCheck(now time.Time) time.Time {
	var next time.Time
	consider := func(at time.Time) {
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	for _, w := range q.waiting {
		consider(w.waitsUntil())
		if !w.Work.Ran {
			consider(w.Work.Deadline.Add(-w.Work.ToFirst - w.Work.Rest))
		}
		if aging := w.Work.Arrived.Add(time.Duration(agingFraction * float64(w.Work.Objective))); aging.After(now) {
			consider(aging)
		}
	}
	return next
}

// RetryDelay returns the delay to state to the caller of a refused work: until memory is expected to have become free
// for the works that go before it and for itself, as fast as it did lately, plus a random part of the same length.
func (q *Queue) RetryDelay(now time.Time, w *Work) time.Duration {
	longest := max(minRetryDelay, time.Duration(retryFraction*float64(w.Deadline.Sub(now))))
	delay := longest
	if freed := q.freed.sum(now, freedWindow); freed > 0 {
		ahead := w.Tokens()
		for _, other := range q.waiting {
			if &other.Work != w && Before(now, &other.Work, w) {
				ahead += other.Work.Tokens()
			}
		}
		delay = min(longest, max(minRetryDelay, time.Duration(float64(ahead)/float64(freed)*float64(freedWindow))))
	}
	return delay + time.Duration(q.rng.Int64N(int64(delay)))
}

// window sums tokens over a time.
type window struct {
	entries []windowEntry
	total   int
}

type windowEntry struct {
	at     time.Time
	tokens int
}

func (w *window) add(now time.Time, tokens int) {
	w.entries = append(w.entries, windowEntry{now, tokens})
	w.total += tokens
}

// sum returns the tokens of the given time before now, and forgets older ones.
func (w *window) sum(now time.Time, length time.Duration) int {
	if w == nil {
		return 0
	}
	old := 0
	for old < len(w.entries) && now.Sub(w.entries[old].at) >= length {
		w.total -= w.entries[old].tokens
		old++
	}
	w.entries = slices.Delete(w.entries, 0, old)
	return w.total
}
