package tokenlog

import (
	"fmt"
	"testing"
	"time"

	"bramleygap/internal/benchsize"
)

const benchTokens = 2048

func benchStore(b *testing.B, size benchsize.Size, now time.Time) (*Store[int], []*Log[int]) {
	store := NewStore[int](DefaultLimits)
	var logs []*Log[int]
	for i := range size.Running {
		log, err := store.Start(now, StartOptions[int]{Generation: fmt.Sprint(i), Attempt: 1, SpecBytes: 4096})
		if err != nil {
			b.Fatal(err)
		}
		logs = append(logs, log)
	}
	return store, logs
}

// BenchmarkAppend measures the append of one token. Once all logs have benchTokens tokens,
// the store is replaced.
func BenchmarkAppend(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		now := time.Unix(1_800_000_000, 0)
		store, logs := benchStore(b, size, now)
		text := []byte("token")
		for i := 0; b.Loop(); i++ {
			index := uint64(i / len(logs))
			if index == benchTokens {
				store, logs = benchStore(b, size, now)
				i, index = 0, 0
			}
			if err := store.Append(now, logs[i%len(logs)], index, Token{ID: 7, Bytes: text}); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkAttach(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		now := time.Unix(1_800_000_000, 0)
		store, logs := benchStore(b, size, now)
		for i := range uint64(benchTokens) {
			_ = store.Append(now, logs[0], i, Token{ID: 7})
		}
		for b.Loop() {
			log, _, err := store.Attach("0", benchTokens/2)
			if err != nil {
				b.Fatal(err)
			}
			log.Read(benchTokens / 2)
		}
	})
}
