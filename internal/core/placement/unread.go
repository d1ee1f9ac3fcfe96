package placement

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxBacklog is the longest possible backlog of a gateway's prompts at a target: reading a whole memory takes less than
// 2 min at the lowest speed, and a prompt is overdue for at most the deadline of its request.
const MaxBacklog = 10 * time.Minute

// unseenTime is left for prompts of other gateways that reports do not show yet, while work waits at several gateways:
// two of 21 exchange reports every 670 ms on average. It leaves more than one prompt of 1.04 s within a limit of 2 s.
const unseenTime = 300 * time.Millisecond

// unusedTime is how long a target may have no prompt to read, while work waits here, until a gateway that does not own it
// may use it: its owner may have ended or have reported more than waits there. 1 s was shorter than the
// gaps between reports of two of 21 gateways now and then, and gave false ones.
const unusedTime = 2 * time.Second

// UnreadLimit returns the longest time for which an engine may be busy reading prompts once a generation below the
// highest rank has been placed there, 0 for no limit. shortest is the shortest objective of the service's routes. An
// engine reads prompts in the order of admission, so that half of it is left to more urgent work behind them.
func UnreadLimit(shortest time.Duration) time.Duration { return shortest / 2 }

// LimitUnread sets the limit of the prompts that may wait at a target before that of a generation, given the shortest
// objective of the service. For work of the highest rank, and urgent work, that of the service's most important routes,
// it is the time that is left until its own: an account's priority goes before its route's, so that most urgent work is
// not of the highest rank. It would wait for its gateway's share of the targets although they can serve it in time.
func (q *RoomQuery) LimitUnread(now, arrived time.Time, objective, shortest time.Duration, urgent bool) {
	q.MaxUnread = UnreadLimit(shortest)
	if q.OwnObjective = q.Highest || urgent; q.OwnObjective {
		q.MaxUnread = max(0, arrived.Add(objective-firstEventOverhead).Sub(now))
	}
}

// DropImpossible sets impossible backlogs of a report to none and returns their number.
func DropImpossible(loads []ReportedLoad) (dropped int) {
	for i := range loads {
		if b := loads[i].Backlog; b < 0 || b > MaxBacklog {
			loads[i].Backlog = 0
			dropped++
		}
	}
	return dropped
}

// PromptShares divides the targets among the gateways with waiting work, by weighted rendezvous hashing: only the owner
// of a target sends it prompts below the highest rank. Otherwise all gateways see that a target has few prompts left
// before they learn of each other's places there. A nil PromptShares divides nothing.
type PromptShares struct {
	own      uint64
	gateways []promptShare
}

type promptShare struct {
	hash   uint64
	tokens float64
}

// NewPromptShares returns the shares of gateways by the tokens that wait there. It returns nil if work waits at no other
// gateway than the own one.
func NewPromptShares(own string, waiting map[string]int) *PromptShares {
	s := &PromptShares{own: xxhash.Sum64String(own)}
	others := false
	for name, tokens := range waiting {
		if tokens > 0 {
			others = others || name != own
			s.gateways = append(s.gateways, promptShare{xxhash.Sum64String(name), float64(tokens)})
		}
	}
	if !others {
		return nil
	}
	return s
}

// owns reports whether the own gateway owns a target.
func (s *PromptShares) owns(t *targetState) bool {
	first, least := uint64(0), math.Inf(1)
	for i := range s.gateways {
		g := &s.gateways[i]
		draw := float64(mix(g.hash^t.ringHash)>>11) + 0.5
		if score := -math.Log(draw/(1<<53)) / g.tokens; score < least || score == least && g.hash < first {
			first, least = g.hash, score
		}
	}
	return first == s.own
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// readsInTime reports whether a target reads the prompt of a generation within the limit of the query. A target that
// has no prompt to read does, whatever the size of the prompt.
func (f *Fleet) readsInTime(now time.Time, q *RoomQuery, t *targetState, size GenerationSize) bool {
	if q.MaxUnread <= 0 {
		return true
	}
	unread, reading := f.backlog(now, t), t.takes(now, q.uncached(t, size).PromptTokens, 0)
	switch {
	case reading == 0:
		return true
	case q.OwnObjective || q.Shares == nil:
		return unread == 0 || unread+reading <= q.MaxUnread
	}
	idle := t.idleFor(now, unread) >= unusedTime
	return (unread == 0 || unread+reading+unseenTime <= q.MaxUnread) && (idle || q.Shares.owns(t))
}

// idleFor returns for how long a target has had no prompt to read whenever work was offered to it.
func (t *targetState) idleFor(now time.Time, unread time.Duration) time.Duration {
	if unread > 0 || now.Sub(t.idleSeen) > unusedTime/2 {
		t.idleSince = now
	}
	t.idleSeen = now
	return now.Sub(t.idleSince)
}

// roomForPrompt is room, without the limit if it is the generation's own objective and no target with memory meets it:
// such work goes where its prompt is read earliest.
func (f *Fleet) roomForPrompt(now time.Time, q *RoomQuery, size GenerationSize) (set roomSet, accepted bool) {
	if q.MaxUnread > 0 {
		f.prompts[q.Service] = true
	}
	q.unread = false
	set, accepted = f.room(now, q, size)
	if q.OwnObjective && q.unread && len(set) == 0 {
		unlimited := *q
		unlimited.MaxUnread = 0
		return f.room(now, &unlimited, size)
	}
	return set, accepted
}

// KeepPromptsOf forgets the services for which the prompts at targets have been counted one by one, except given ones.
func (f *Fleet) KeepPromptsOf(ranked func(service string) bool) {
	for service := range f.prompts {
		if !ranked(service) {
			delete(f.prompts, service)
		}
	}
}

// unread returns the time that a target needs for the prompts from all gateways that are not known to be read. It reads
// one at a time: the time since a report counts for the prompts of its gateway by their share of all, and so does the
// time for which the oldest prompt of this gateway is expected to have been read.
func (f *Fleet) unread(now time.Time, t *targetState) time.Duration {
	own, begun := f.ownUnread(now, t)
	total := own
	for i := range t.reported.backlogs {
		total += t.reported.backlogs[i].length()
	}
	if total == 0 {
		return 0
	}
	left := own - shareOf(begun, own, total)
	for i := range t.reported.backlogs {
		b := &t.reported.backlogs[i]
		left += max(0, b.length()-shareOf(now.Sub(b.at), b.length(), total))
	}
	return left
}

// shareOf returns the share of a time that falls to a part of a total.
func shareOf(d, part, total time.Duration) time.Duration {
	return time.Duration(float64(d) * float64(part) / float64(total))
}

// ownUnread returns the time that a target needs for the prompts of this gateway that are not read, and for how long
// the oldest one is expected to have been read of that. One that is overdue is not known to have begun.
func (f *Fleet) ownUnread(now time.Time, t *targetState) (total, begun time.Duration) {
	var oldest *stream
	for _, s := range t.streams {
		if !s.prefilling || s.size.PromptTokens == 0 {
			continue
		}
		total += t.takes(now, s.size.PromptTokens, 0)
		if oldest == nil || s.started.Before(oldest.started) {
			oldest = s
		}
	}
	if oldest != nil {
		reading := t.takes(now, oldest.size.PromptTokens, 0)
		if end := oldest.started.Add(oldest.expected); !now.After(end) {
			begun = min(reading, max(0, now.Sub(end.Add(-reading-firstEventOverhead))))
		}
	}
	if t.hangs(now) {
		total = max(total, hungBacklog)
	}
	return total, begun
}
