package load

import (
	"context"
	"net/http"

	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"
)

// Names of the entry metrics that EntryMetrics is computed from.
const (
	metricResumeLatency = "bramleygap_entry_resume_latency_seconds"
	metricDiscarded     = "bramleygap_entry_discarded_tokens_total"
	metricSpeculative   = "bramleygap_entry_speculative_attempts_total"
)

// Scrape holds metric values at one time, summed over the entries.
type Scrape struct {
	discarded, speculative float64
	resumes                uint64
	resumeSeconds          float64
	// resumeBuckets holds the cumulative number of resumes by upper bound in seconds.
	resumeBuckets map[float64]uint64
}

// EntryMetrics holds the results that are computed from the entries' metrics.
type EntryMetrics struct {
	// Resumes counts generations whose output continued after a loss.
	Resumes uint64 `json:"resumes"`
	// ResumeMean is in milliseconds; ResumeP95 is the upper bound in milliseconds of the
	// histogram bucket that holds the 95th percentile.
	ResumeMean float64 `json:"resume_mean_ms"`
	ResumeP95  float64 `json:"resume_p95_at_most_ms"`
	// ExtraTokens is the number of tokens that were generated and discarded.
	ExtraTokens float64 `json:"extra_tokens"`
	// ExtraPerToken is ExtraTokens per delivered token.
	ExtraPerToken       float64 `json:"extra_tokens_per_token"`
	SpeculativeAttempts float64 `json:"speculative_attempts"`
}

// ScrapeEntries reads the metrics of all entries; urls are the base URLs of their admin
// servers.
func ScrapeEntries(ctx context.Context, urls []string) (*Scrape, error) {
	total := &Scrape{resumeBuckets: make(map[float64]uint64)}
	for _, url := range urls {
		families, err := fetchFamilies(ctx, url+"/metrics")
		if err != nil {
			return nil, eris.Wrap(err, url)
		}
		total.add(families)
	}
	return total, nil
}

func fetchFamilies(ctx context.Context, url string) (map[string]*dto.MetricFamily, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	return parser.TextToMetricFamilies(response.Body)
}

func (s *Scrape) add(families map[string]*dto.MetricFamily) {
	for _, metric := range families[metricDiscarded].GetMetric() {
		s.discarded += metric.GetCounter().GetValue()
	}
	for _, metric := range families[metricSpeculative].GetMetric() {
		s.speculative += metric.GetCounter().GetValue()
	}
	for _, metric := range families[metricResumeLatency].GetMetric() {
		s.resumes += metric.GetHistogram().GetSampleCount()
		s.resumeSeconds += metric.GetHistogram().GetSampleSum()
		for _, bucket := range metric.GetHistogram().GetBucket() {
			s.resumeBuckets[bucket.GetUpperBound()] += bucket.GetCumulativeCount()
		}
	}
}

// Since returns the results since an earlier scrape; delivered is the number of tokens
// delivered in between.
func (s *Scrape) Since(before *Scrape, delivered int) *EntryMetrics {
	r := &EntryMetrics{
		Resumes:             s.resumes - before.resumes,
		ExtraTokens:         s.discarded - before.discarded,
		SpeculativeAttempts: s.speculative - before.speculative,
	}
	if delivered > 0 {
		r.ExtraPerToken = r.ExtraTokens / float64(delivered)
	}
	if r.Resumes == 0 {
		return r
	}
	r.ResumeMean = (s.resumeSeconds - before.resumeSeconds) / float64(r.Resumes) * 1000
	r.ResumeP95 = 1000 * s.upperBound(before, 0.95*float64(r.Resumes))
	return r
}

// upperBound returns the smallest upper bound in seconds of a bucket with at least count
// samples since an earlier scrape, or -1.
func (s *Scrape) upperBound(before *Scrape, count float64) float64 {
	smallest := -1.0
	for bound, n := range s.resumeBuckets {
		if float64(n-before.resumeBuckets[bound]) >= count && (smallest < 0 || bound < smallest) {
			smallest = bound
		}
	}
	return smallest
}
