package tokenlog

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	_ "bramleygap/internal/rapidseed"
)

var start = time.Unix(1000, 0)

// Guards against out-of-order appends, decreasing epochs, wrong byte counts, eviction of
// running logs and logs kept beyond their retention, under any sequence of operations.
func TestStoreInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Bytes: 8 << 10, Retention: 10 * time.Second}
		store := NewStore[string](limits)
		now := start
		epochs := map[string]uint64{}
		endedAt := map[string]time.Time{}
		generation := rapid.StringMatching("g[0-5]")
		t.Repeat(map[string]func(*rapid.T){
			"start": func(t *rapid.T) {
				id, attempt := generation.Draw(t, "id"), rapid.Uint32Range(1, 4).Draw(t, "attempt")
				epoch := rapid.Uint64Range(0, 6).Draw(t, "epoch")
				previous := store.Local(id)
				log, err := store.Start(now, StartOptions[string]{Generation: id, Attempt: attempt, Epoch: epoch})
				if err != nil {
					return
				}
				if previous != nil && (previous.End() == nil || log.Epoch() <= previous.Epoch()) {
					t.Fatalf("attempt %d with epoch %d replaced a running log or epoch %d", attempt, log.Epoch(), previous.Epoch())
				}
				epochs[id] = log.Epoch()
				delete(endedAt, id)
			},
			"append": func(t *rapid.T) {
				log := store.Local(generation.Draw(t, "id"))
				index := rapid.Uint64Range(0, 40).Draw(t, "index")
				if log == nil {
					return
				}
				wantOK := log.End() == nil && index == log.Next()
				if err := store.Append(now, log, index, Token{ID: uint32(index), Bytes: make([]byte, 60)}); (err == nil) != wantOK {
					t.Fatalf("append at index %d of a log with %d tokens: %v", index, log.Next(), err)
				}
			},
			"attach": func(t *rapid.T) {
				id := generation.Draw(t, "id")
				if _, epoch, err := store.Attach(id, 0); err == nil {
					if epoch <= epochs[id] {
						t.Fatalf("attach returned epoch %d after %d", epoch, epochs[id])
					}
					epochs[id] = epoch
				}
			},
			"finish": func(t *rapid.T) {
				id := generation.Draw(t, "id")
				if log := store.Local(id); log != nil && store.Finish(now, log, End{Tokens: log.Next()}) == nil {
					endedAt[id] = now
				}
			},
			"replicate": func(t *rapid.T) {
				record := Record[string]{
					Generation: generation.Draw(t, "id"), Attempt: rapid.Uint32Range(1, 3).Draw(t, "attempt"),
					First: rapid.Uint64Range(0, 8).Draw(t, "first"), Spec: new(string),
				}
				for i := range rapid.Uint64Range(0, 5).Draw(t, "count") {
					record.Tokens = append(record.Tokens, Token{ID: record.Attempt*1000 + uint32(record.First+i)})
				}
				_, _ = store.Replicate(now, record)
			},
			"time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 6).Draw(t, "seconds")) * time.Second)
				store.Expire(now)
			},
			"": func(t *rapid.T) {
				total, running := 0, 0
				for id, log := range store.local {
					total += log.size
					if log.end == nil {
						running += log.size
					}
					if at, ended := endedAt[id]; ended && now.Sub(at) > limits.Retention+6*time.Second {
						t.Fatalf("log of %s kept %v after its end", id, now.Sub(at))
					}
				}
				for _, log := range store.replicas {
					total += log.size
					for index, token := range log.tokens {
						if token.ID != log.Attempt*1000+uint32(index) {
							t.Fatalf("replica of attempt %d has token %d at index %d", log.Attempt, token.ID, index)
						}
					}
				}
				if total != store.Bytes() {
					t.Fatalf("Bytes() is %d, logs have %d", store.Bytes(), total)
				}
				if total > limits.Bytes && total > running {
					t.Fatalf("%d bytes exceed the limit, only %d of them in running logs", total, running)
				}
			},
		})
	})
}

// Guards against evicting a younger log before the oldest finished one, and against expiring
// a finished log before its retention has passed.
func TestEvictsOldestFinishedFirst(t *testing.T) {
	c := qt.New(t)
	store := NewStore[string](Limits{Bytes: 4 * logOverheadBytes, Retention: 120 * time.Second})
	for i := range 4 {
		log, err := store.Start(start, StartOptions[string]{Generation: fmt.Sprint(i), Attempt: 1})
		c.Assert(err, qt.IsNil)
		if i > 0 {
			c.Assert(store.Finish(start.Add(time.Duration(10-i)*time.Second), log, End{}), qt.IsNil)
		}
	}
	c.Assert(store.Expire(start.Add(119*time.Second)), qt.Equals, 0)
	_, err := store.Start(start, StartOptions[string]{Generation: "new", Attempt: 1})
	c.Assert(err, qt.IsNil)
	c.Assert(store.Local("3"), qt.IsNil)
	c.Assert(store.Local("0"), qt.IsNotNil)
	c.Assert(store.Local("2"), qt.IsNotNil)
}

// Guards against returning the replica of a cancelled attempt instead of that of the attempt
// that won the race.
func TestFindPrefersRequestedThenLatestAttempt(t *testing.T) {
	c := qt.New(t)
	store := NewStore[string](DefaultLimits)
	for second, attempt := range []uint32{1, 2, 1} {
		_, err := store.Replicate(start.Add(time.Duration(second)*time.Second), Record[string]{
			Generation: "g", Attempt: attempt, Spec: new(string), First: uint64(second / 2), Tokens: []Token{{ID: attempt}},
		})
		c.Assert(err, qt.IsNil)
	}
	c.Assert(store.Find("g", 0).Attempt, qt.Equals, uint32(1))
	c.Assert(store.Find("g", 0).Next(), qt.Equals, uint64(2))
	c.Assert(store.Find("g", 2).Attempt, qt.Equals, uint32(2))
	c.Assert(store.Find("other", 0) == nil, qt.IsTrue)
}

// Guards against a checksum that differs from the one callers compute: CRC-32C over 4 bytes
// big endian for each id.
func TestChecksum(t *testing.T) {
	c := qt.New(t)
	log := newLog(start, StartOptions[string]{})
	for i, id := range []uint32{0x31323334, 0x35363738} {
		c.Assert(log.append(start, uint64(i), Token{ID: id}), qt.IsNil)
	}
	// CRC-32C of the text "12345678".
	c.Assert(log.Checksum(), qt.Equals, uint32(0x6087809a))
}
