package speed

import (
	"math"
	"time"
)

const (
	// MaxRecords is the largest number of records in a message, of about 16 bytes each.
	MaxRecords = 64
	// maxRecordsPerSecond bounds what a gateway sends to all others, to 2 KB/s, in installations of any size.
	maxRecordsPerSecond = 128
	// sendFactor is the change of an estimate since it was last sent from which on it is sent again.
	sendFactor = 1.05
	// pushMessages is the number of messages in which a change is sent: a gateway that has it passes it on, and with
	// six receivers each it reaches all but one in 400 gateways.
	pushMessages = 6
	// refreshRecords is the number of unchanged records in a message, for gateways that have started or missed a
	// change: with 9 messages a second, 1,100 instances take half a minute.
	refreshRecords = 4
	// countedSamples is the number of samples up to which each doubling is sent, also if the speed stays: the evidence for
	// the use of speeds depends on it.
	countedSamples = 8
)

var logSendFactor = math.Log(sendFactor)

// exportBudget bounds the records that are sent.
type exportBudget struct {
	left float64
	at   time.Time
}

// refill returns the number of records that may be sent now.
func (b *exportBudget) refill(now time.Time) int {
	if b.at.IsZero() {
		b.left = MaxRecords
	}
	elapsed := max(0, now.Sub(b.at).Seconds())
	b.left, b.at = min(MaxRecords, b.left+min(1, elapsed)*maxRecordsPerSecond), now
	return int(b.left)
}

// changedSinceSent reports whether another gateway has to hear of an estimate.
func (e *estimate) changedSinceSent() bool {
	if e.samples == 0 || e.samples == e.sentSamples && e.log == e.sentLog {
		return false
	}
	doubled := e.sentSamples < countedSamples && e.samples >= 2*e.sentSamples
	return e.sentSamples == 0 || doubled || math.Abs(e.log-e.sentLog) >= logSendFactor
}

// Export returns the records for one message: those that changed, the longest unsent first, and a few others.
func (b *Book) Export(now time.Time) []Record {
	limit := b.budget.refill(now)
	if limit == 0 {
		return nil
	}
	var changed, others []*entry
	for _, e := range b.order {
		for kind := range e.estimates {
			if e.estimates[kind].changedSinceSent() {
				e.pushes = pushMessages
			}
		}
		switch {
		case e.pushes > 0 && len(changed) < limit:
			changed = append(changed, e)
		case e.pushes == 0 && e.known() && len(others) < refreshRecords:
			others = append(others, e)
		}
	}
	others = others[:min(len(others), (limit+3)/4)]
	list := append(changed[:min(limit-len(others), len(changed))], others...)
	if len(list) == 0 {
		return nil
	}
	b.budget.left -= float64(len(list))
	records := make([]Record, len(list))
	for i, e := range list {
		records[i] = e.record()
	}
	b.moveToEnd(list)
	return records
}

// record returns the estimates of an entry and marks them as sent.
func (e *entry) record() Record {
	r := Record{Key: e.key}
	e.pushes = max(0, e.pushes-1)
	for kind := range e.estimates {
		estimate := &e.estimates[kind]
		r.Estimates[kind] = estimate.export()
		estimate.sentLog, estimate.sentSamples = estimate.log, estimate.samples
	}
	return r
}

// moveToEnd moves the entries that have been sent to the end of the order.
func (b *Book) moveToEnd(sent []*entry) {
	for _, e := range sent {
		e.justSent = true
	}
	rest := b.order[:0]
	for _, e := range b.order {
		if !e.justSent {
			rest = append(rest, e)
		}
	}
	b.order = append(rest, sent...)
	for _, e := range sent {
		e.justSent = false
	}
}
