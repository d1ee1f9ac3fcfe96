package tokenlog

import "time"

// Limits are the limits of a Store.
type Limits struct {
	// Bytes bounds the estimated memory of all logs and replicas.
	Bytes int
	// Retention is how long a log is kept after its end, and a replica after its last update.
	Retention time.Duration
}

// DefaultLimits keeps the memory of an agent below the 64 MB that a node may use for the
// control plane.
var DefaultLimits = Limits{Bytes: 32 << 20, Retention: 120 * time.Second}

// replicaKey identifies a replica. Each attempt has its own, so that tokens of two attempts are
// never mixed: a speculative attempt may be replicated to the same agent as the attempt that
// it races, and either may win.
type replicaKey struct {
	generation string
	attempt    uint32
}

// Store holds the local logs of one agent and its replicas of other agents' logs. It is not
// safe for concurrent use.
type Store[S any] struct {
	limits   Limits
	local    map[string]*Log[S] // by generation
	replicas map[replicaKey]*Log[S]
	bytes    int
}

// NewStore returns an empty store.
func NewStore[S any](limits Limits) *Store[S] {
	return &Store[S]{limits: limits, local: make(map[string]*Log[S]), replicas: make(map[replicaKey]*Log[S])}
}

// Bytes returns the estimated memory of all logs and replicas.
func (s *Store[S]) Bytes() int { return s.bytes }

// Local returns the local log of a generation, or nil.
func (s *Store[S]) Local(generation string) *Log[S] { return s.local[generation] }

// Find returns the local log or replica of the attempt. If there is none, it returns the
// log of the generation that was updated last, or nil.
func (s *Store[S]) Find(generation string, attempt uint32) *Log[S] {
	best := s.local[generation]
	for key, log := range s.replicas {
		if key.generation == generation && (best == nil || preferred(log, best, attempt)) {
			best = log
		}
	}
	return best
}

// preferred reports whether Find returns a rather than b.
func preferred[S any](a, b *Log[S], attempt uint32) bool {
	switch {
	case (a.Attempt == attempt) != (b.Attempt == attempt):
		return a.Attempt == attempt
	case !a.updated.Equal(b.updated):
		return a.updated.After(b.updated)
	}
	return a.Attempt > b.Attempt
}

// LocalLogs returns the local logs in no particular order.
func (s *Store[S]) LocalLogs() []*Log[S] {
	logs := make([]*Log[S], 0, len(s.local))
	for _, log := range s.local {
		logs = append(logs, log)
	}
	return logs
}

// StartOptions describes the attempt that Start begins.
type StartOptions[S any] struct {
	Generation string
	Attempt    uint32
	// Epoch is the attach epoch of the entry; 0 for a new generation.
	Epoch uint64
	Spec  S
	// SpecBytes is the size of Spec in memory, mostly the prompt.
	SpecBytes int
	// Prefix contains the tokens that earlier attempts delivered.
	Prefix []Token
}

// Start creates the log of an attempt and replaces the ended log of an earlier attempt. If
// the epoch is 0 or the current one, the log gets the next epoch. Start returns ErrSuperseded
// for a lower epoch, which belongs to a superseded entry, and for an attempt that is not
// newer. It returns ErrRunning while the earlier attempt runs.
func (s *Store[S]) Start(now time.Time, options StartOptions[S]) (*Log[S], error) {
	previous, epoch := s.local[options.Generation], options.Epoch
	if previous != nil {
		attempt := options.Attempt
		if attempt <= previous.Attempt || (epoch != 0 && epoch < previous.epoch) {
			return nil, ErrSuperseded
		}
		if previous.end == nil {
			return nil, ErrRunning
		}
		if epoch <= previous.epoch {
			epoch = previous.epoch + 1
		}
	}
	options.Epoch = max(epoch, 1)
	log := newLog(now, options)
	for index, token := range options.Prefix {
		_ = log.append(now, uint64(index), token)
	}
	if !s.evictFor(log.size) {
		return nil, ErrFull
	}
	if previous = s.local[options.Generation]; previous != nil {
		s.remove(previous)
	}
	s.local[options.Generation] = log
	s.bytes += log.size
	return log, nil
}

func newLog[S any](now time.Time, options StartOptions[S]) *Log[S] {
	return &Log[S]{
		Generation: options.Generation, Attempt: options.Attempt, Spec: options.Spec, Started: now,
		epoch: options.Epoch, size: logOverheadBytes + options.SpecBytes, updated: now,
	}
}

// Append adds a token to the log of a running attempt.
func (s *Store[S]) Append(now time.Time, log *Log[S], index uint64, token Token) error {
	oldSize := log.size
	if err := log.append(now, index, token); err != nil {
		return err
	}
	s.addBytes(log, log.size-oldSize)
	return nil
}

// addBytes accounts for the growth of a log, unless it is no longer in the store.
func (s *Store[S]) addBytes(log *Log[S], added int) {
	if s.local[log.Generation] != log && s.replicas[replicaKey{log.Generation, log.Attempt}] != log {
		return
	}
	s.bytes += added
	s.evictFor(0)
}

// Finish ends an attempt. It returns ErrEnded if the attempt has already ended.
func (s *Store[S]) Finish(now time.Time, log *Log[S], end End) error {
	if log.end != nil {
		return ErrEnded
	}
	log.end = &end
	log.updated = now
	return nil
}

// Attach assigns the next attach epoch of a generation's log to a caller that continues at
// index from. It returns ErrGap if from is above the end of the log and so belongs to another
// log.
func (s *Store[S]) Attach(generation string, from uint64) (*Log[S], uint64, error) {
	log := s.local[generation]
	if log == nil {
		return nil, 0, ErrNotFound
	}
	if from > log.Next() {
		return nil, 0, ErrGap
	}
	log.epoch++
	return log, log.epoch, nil
}

// Record is one replication message of a log.
type Record[S any] struct {
	Generation string
	Attempt    uint32
	Epoch      uint64
	// Spec is set on records that start at index 0.
	Spec *S
	// SpecBytes is the size of Spec in memory.
	SpecBytes int
	First     uint64
	Tokens    []Token
	// End is set on the last record of an ended attempt.
	End *End
}

// Replicate applies a record to the replica of its attempt and returns the next index that
// the replica needs. The sender rewinds if that is lower than what it has sent.
func (s *Store[S]) Replicate(now time.Time, record Record[S]) (uint64, error) {
	key := replicaKey{record.Generation, record.Attempt}
	log := s.replicas[key]
	if log == nil {
		if record.Spec == nil || record.First != 0 {
			return 0, nil
		}
		log = newLog(now, StartOptions[S]{
			Generation: record.Generation, Attempt: record.Attempt, Epoch: record.Epoch,
			Spec: *record.Spec, SpecBytes: record.SpecBytes,
		})
		if !s.evictFor(log.size) {
			return 0, ErrFull
		}
		s.replicas[key] = log
		s.bytes += log.size
	}
	log.epoch = max(log.epoch, record.Epoch)
	for offset, token := range record.Tokens {
		index := record.First + uint64(offset)
		if index != log.Next() {
			continue
		}
		if err := s.Append(now, log, index, token); err != nil {
			return log.Next(), err
		}
	}
	if record.End != nil && record.End.Tokens == log.Next() && log.end == nil {
		_ = s.Finish(now, log, *record.End)
	}
	return log.Next(), nil
}

// Expire removes the logs and replicas whose retention has passed and returns their number.
func (s *Store[S]) Expire(now time.Time) int {
	expired := 0
	for _, log := range s.local {
		if log.end != nil && now.Sub(log.updated) >= s.limits.Retention {
			s.remove(log)
			expired++
		}
	}
	for _, log := range s.replicas {
		if now.Sub(log.updated) >= s.limits.Retention {
			s.remove(log)
			expired++
		}
	}
	return expired
}

// evictFor evicts until the additional bytes fit, and reports whether they do. It evicts ended
// logs and replicas, oldest first, and then replicas of running attempts, but never running
// local logs.
func (s *Store[S]) evictFor(bytes int) bool {
	for s.bytes+bytes > s.limits.Bytes {
		victim := s.evictionCandidate()
		if victim == nil {
			return false
		}
		s.remove(victim)
	}
	return true
}

func (s *Store[S]) evictionCandidate() *Log[S] {
	var ended, running *Log[S]
	consider := func(log *Log[S], local bool) {
		switch {
		case log.end != nil && (ended == nil || log.updated.Before(ended.updated)):
			ended = log
		case log.end == nil && !local && (running == nil || log.updated.Before(running.updated)):
			running = log
		}
	}
	for _, log := range s.local {
		consider(log, true)
	}
	for _, log := range s.replicas {
		consider(log, false)
	}
	if ended != nil {
		return ended
	}
	return running
}

func (s *Store[S]) remove(log *Log[S]) {
	s.bytes -= log.size
	key := replicaKey{log.Generation, log.Attempt}
	if s.replicas[key] == log {
		delete(s.replicas, key)
		return
	}
	delete(s.local, log.Generation)
}
