package opconfig

import (
	"testing"

	"bramleygap/internal/benchsize"
)

func BenchmarkParse(b *testing.B) {
	benchsize.Run(b, func(b *testing.B, size benchsize.Size) {
		text := size.ConfigText()
		if _, err := Parse(text); err != nil {
			b.Fatal(err)
		}
		for b.Loop() {
			_, _ = Parse(text)
		}
		b.ReportMetric(float64(len(text)), "wire-B/op")
	})
}
