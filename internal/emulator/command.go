package emulator

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/guptarohit/asciigraph"
	"github.com/rotisserie/eris"
)

const (
	plotHeight = 12
	plotWidth  = 68
)

// Command is the command line of `bramleygap experiment`.
type Command struct {
	Pattern string `arg:"" optional:"" help:"Name of the load pattern; without one, the patterns are listed."`
	Seeds   int    `default:"5" help:"Number of seeds to play; the table shows means over them."`
}

// Run simulates the pattern under each policy and prints a table and a plot.
func (c *Command) Run(_ context.Context) error { return c.print(os.Stdout) }

func (c *Command) print(w io.Writer) error {
	if c.Pattern == "" {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, p := range Patterns() {
			if _, err := fmt.Fprintf(table, "%s\t%s\n", p.Name, p.Description); err != nil {
				return err
			}
		}
		return table.Flush()
	}
	if c.Seeds < 1 {
		return eris.New("at least one seed is needed")
	}
	for _, p := range Patterns() {
		if p.Name == c.Pattern {
			return c.compare(w, &p)
		}
	}
	return eris.Errorf("no pattern %q; `bramleygap experiment` lists them", c.Pattern)
}

func (c *Command) compare(w io.Writer, p *Pattern) error {
	var summaries []Summary
	for _, policy := range Policies() {
		summaries = append(summaries, Simulate(p, policy, c.Seeds))
	}
	if _, err := fmt.Fprintf(w, "%s: %s; %d seeds, %d requests per policy\n\n", p.Name, p.Description, c.Seeds, summaries[0].Requests); err != nil {
		return err
	}
	if err := writeTable(w, summaries); err != nil {
		return err
	}
	if summaries[0].Crashes > 0 {
		if err := writeCrashes(w, summaries); err != nil {
			return err
		}
	}
	if summaries[0].Urgent > 0 {
		for i := range summaries {
			s := &summaries[i]
			if _, err := fmt.Fprintf(w, "%s: %d of %d urgent requests on time\n", s.Policy, s.UrgentOnTime, s.Urgent); err != nil {
				return err
			}
		}
	}
	names := make([]string, len(summaries))
	series := make([][]float64, len(summaries))
	for i := range summaries {
		names[i], series[i] = summaries[i].Policy, summaries[i].OnTimeBySecond
	}
	plot := asciigraph.PlotMany(series, asciigraph.Height(plotHeight), asciigraph.Width(plotWidth), asciigraph.LowerBound(0), asciigraph.UpperBound(1),
		asciigraph.Precision(1), asciigraph.SeriesLegends(names...),
		asciigraph.SeriesColors(asciigraph.Red, asciigraph.Yellow, asciigraph.Blue, asciigraph.Green),
		asciigraph.Caption("fraction of requests on time by second of arrival"))
	_, err := fmt.Fprintf(w, "\n%s\n", plot)
	return err
}

// writeTable prints one row for each policy, with the range of the on-time fraction over the seeds.
func writeTable(w io.Writer, summaries []Summary) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := []string{"policy\ton time\tover seeds\tlate\tlost\trefused\tfirst event p50\tp99\tlongest pause p99\twasted prefill tokens per request"}
	for i := range summaries {
		s := &summaries[i]
		low, high := s.OnTimeFractions[0], s.OnTimeFractions[0]
		for _, fraction := range s.OnTimeFractions {
			low, high = min(low, fraction), max(high, fraction)
		}
		rows = append(rows, fmt.Sprintf("%s\t%.3f\t%.3f to %.3f\t%.3f\t%.3f\t%.3f\t%v\t%v\t%v\t%.0f", s.Policy, s.Ratio(s.OnTime), low, high,
			s.Ratio(s.Late), s.Ratio(s.Lost), s.Ratio(s.Refused), roundToMS(Quantile(s.FirstEvent, 0.5)), roundToMS(Quantile(s.FirstEvent, 0.99)),
			roundToMS(Quantile(s.LongestPause, 0.99)), s.WastedPrefillTokensPerRequest()))
	}
	if _, err := fmt.Fprintln(table, strings.Join(rows, "\n")); err != nil {
		return err
	}
	return table.Flush()
}

func roundToMS(d time.Duration) time.Duration { return d.Round(time.Millisecond) }

// writeCrashes prints one row for each policy: the crashes by prompt parts and their effect on other streams.
func writeCrashes(w io.Writer, summaries []Summary) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := []string{"\npolicy\tengines crashed per seed\tlate arrivals per seed\tmost for a part\tsound streams begun at once while known\tsound requests rejected"}
	for i := range summaries {
		s := &summaries[i]
		seeds := float64(len(s.OnTimeFractions))
		rows = append(rows, fmt.Sprintf("%s\t%.1f\t%.1f\t%d\t%d of %d\t%d", s.Policy, float64(s.Crashes)/seeds, float64(s.LateArrivals)/seeds, s.MostLateArrivals, s.Begun, s.Sound, s.Rejected))
	}
	if _, err := fmt.Fprintln(table, strings.Join(rows, "\n")); err != nil {
		return err
	}
	return table.Flush()
}
