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

// Run plays the pattern under each policy and prints a table and a plot.
func (c *Command) Run(_ context.Context) error { return c.print(os.Stdout) }

func (c *Command) print(w io.Writer) error {
	if c.Pattern == "" {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, p := range Patterns() {
			if _, err := fmt.Fprintf(table, "%s\t%s\n", p.Name, p.Text); err != nil {
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
	var all []Measures
	for _, policy := range Policies() {
		all = append(all, Play(p, policy, c.Seeds))
	}
	if _, err := fmt.Fprintf(w, "%s: %s; %d seeds, %d requests each policy\n\n", p.Name, p.Text, c.Seeds, all[0].Requests); err != nil {
		return err
	}
	if err := writeTable(w, all); err != nil {
		return err
	}
	names := make([]string, len(all))
	series := make([][]float64, len(all))
	for i := range all {
		names[i], series[i] = all[i].Policy, all[i].BySecond
	}
	plot := asciigraph.PlotMany(series, asciigraph.Height(plotHeight), asciigraph.Width(plotWidth), asciigraph.LowerBound(0), asciigraph.UpperBound(1),
		asciigraph.Precision(1), asciigraph.SeriesLegends(names...),
		asciigraph.SeriesColors(asciigraph.Red, asciigraph.Yellow, asciigraph.Blue, asciigraph.Green),
		asciigraph.Caption("share on time by second of arrival"))
	_, err := fmt.Fprintf(w, "\n%s\n", plot)
	return err
}

// writeTable prints one line for each policy; the range of the share on time is over seeds.
func writeTable(w io.Writer, all []Measures) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lines := []string{"policy\ton time\tover seeds\tlate\tlost\trefused\tfirst event p50\tp99\tlongest pause p99\ttokens read again per request"}
	for i := range all {
		m := &all[i]
		low, high := m.OnTimeShares[0], m.OnTimeShares[0]
		for _, share := range m.OnTimeShares {
			low, high = min(low, share), max(high, share)
		}
		lines = append(lines, fmt.Sprintf("%s\t%.3f\t%.3f to %.3f\t%.3f\t%.3f\t%.3f\t%v\t%v\t%v\t%.0f", m.Policy, m.Share(m.OnTime), low, high,
			m.Share(m.Late), m.Share(m.Lost), m.Share(m.Refused), ms(Quantile(m.FirstEvent, 0.5)), ms(Quantile(m.FirstEvent, 0.99)),
			ms(Quantile(m.LongestPause, 0.99)), m.TokensAgainPerRequest()))
	}
	if _, err := fmt.Fprintln(table, strings.Join(lines, "\n")); err != nil {
		return err
	}
	return table.Flush()
}

func ms(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
