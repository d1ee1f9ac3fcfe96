// Package benchcheck compares a run of the benchmarks with bounds and with an earlier run.
package benchcheck

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/BurntSushi/toml"
	"golang.org/x/perf/benchfmt"
)

// ErrExceeded is returned if a bound is exceeded or its benchmark is missing.
var ErrExceeded = errors.New("at least one bound is exceeded or was not measured")

// Command is the hidden command bench-check.
type Command struct {
	Bounds   string `default:"bench/bounds.toml" help:"File with bounds."`
	Baseline string `default:"bench/baseline.txt" help:"Output of an earlier run."`
	File     string `arg:"" name:"run" help:"Output of go test -bench; - reads standard input."`
}

// metric identifies one measurement: package below internal/, benchmark, and unit as in
// benchfmt, which turns ns/op into sec/op.
type metric struct{ benchmark, unit string }

// samples holds the values of each metric, one per repetition.
type samples map[metric][]float64

// bound is one limit of the bounds file.
type bound struct {
	Benchmark string  `toml:"benchmark"`
	Unit      string  `toml:"unit"`
	Max       float64 `toml:"max"`
}

type boundsFile struct {
	Bounds []bound `toml:"bound"`
}

// Run prints each metric with its spread, its bound, and the ratio to the earlier run.
func (c *Command) Run(context.Context) error {
	bounds, err := readBounds(c.Bounds)
	if err != nil {
		return err
	}
	earlier, err := readRun(c.Baseline)
	if err != nil {
		return err
	}
	run, err := readRun(c.File)
	if err != nil {
		return err
	}
	return report(os.Stdout, bounds, earlier, run)
}

func readBounds(path string) (map[metric]float64, error) {
	var file boundsFile
	meta, err := toml.DecodeFile(path, &file)
	if err != nil {
		return nil, err
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("%s: unknown key %s", path, unknown[0])
	}
	bounds := make(map[metric]float64)
	for _, b := range file.Bounds {
		key := metric{b.Benchmark, b.Unit}
		if _, duplicate := bounds[key]; duplicate || b.Max <= 0 || b.Unit == "" || b.Benchmark == "" {
			return nil, fmt.Errorf("%s: bound of %q %q is incomplete, not above 0, or listed twice", path, b.Benchmark, b.Unit)
		}
		bounds[key] = b.Max
	}
	return bounds, nil
}

func readRun(path string) (samples, error) {
	if path == "-" {
		return parse(os.Stdin, path)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return parse(file, path)
}

func parse(r io.Reader, name string) (samples, error) {
	run := samples{}
	reader := benchfmt.NewReader(r, name)
	for reader.Scan() {
		result, ok := reader.Result().(*benchfmt.Result)
		if !ok {
			continue
		}
		pkg := strings.TrimPrefix(result.GetConfig("pkg"), "bramleygap/internal/")
		base, parts := result.Name.Parts()
		benchmark := pkg + " " + string(base)
		for _, part := range parts {
			if part[0] != '-' {
				benchmark += string(part)
			}
		}
		for _, value := range result.Values {
			key := metric{benchmark, value.Unit}
			run[key] = append(run[key], value.Value)
		}
	}
	return run, reader.Err()
}

func report(w io.Writer, bounds map[metric]float64, earlier, run samples) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "benchmark\tunit\tmedian\tspread\tbound\tto bound\tto earlier run\t")
	exceeded := false
	keys := maps.Clone(run)
	for key := range bounds {
		keys[key] = run[key]
	}
	order := slices.SortedFunc(maps.Keys(keys), func(a, b metric) int {
		return strings.Compare(a.benchmark+" "+a.unit, b.benchmark+" "+b.unit)
	})
	for _, key := range order {
		limit, bounded := bounds[key]
		values := run[key]
		if len(values) == 0 {
			exceeded = true
			_, _ = fmt.Fprintf(table, "%s\t%s\tnot measured\t\t%.3g\tMISSING\t\t\n", key.benchmark, key.unit, limit)
			continue
		}
		measured := median(values)
		state, limitText := "", ""
		if bounded {
			state, limitText = fmt.Sprintf("%.2f", measured/limit), fmt.Sprintf("%.3g", limit)
			if measured > limit {
				exceeded = true
				state += " EXCEEDED"
			}
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.4g\t%.4g-%.4g\t%s\t%s\t%s\t\n", key.benchmark, key.unit, measured,
			slices.Min(values), slices.Max(values), limitText, state, ratio(measured, earlier[key]))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if exceeded {
		return ErrExceeded
	}
	return nil
}

func ratio(now float64, earlier []float64) string {
	if len(earlier) == 0 {
		return "new"
	}
	previous := median(earlier)
	if previous == now {
		return "1.00"
	}
	return fmt.Sprintf("%.2f", now/previous)
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	middle := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[middle]
	}
	return (sorted[middle-1] + sorted[middle]) / 2
}
