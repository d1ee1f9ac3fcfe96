package generations

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/stream"
	"bramleygap/internal/entry/caller"
)

type receivedResponse struct {
	status int
	code   string
	text   string
	ids    []string
	final  *extension
	done   bool
}

func post(c *qt.C, url, path, payload, lastID string) *http.Response {
	method := http.MethodPost
	if payload == "" {
		method = http.MethodGet
	}
	r, err := http.NewRequest(method, url+path, strings.NewReader(payload))
	c.Assert(err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+testKey)
	if lastID != "" {
		r.Header.Set("Last-Event-ID", lastID)
	}
	response, err := http.DefaultClient.Do(r)
	c.Assert(err, qt.IsNil)
	return response
}

// collect reads events until the body ends or limit event ids have arrived; 0 means no
// limit.
func collect(c *qt.C, response *http.Response, limit int) receivedResponse {
	defer func() { _ = response.Body.Close() }()
	got := receivedResponse{status: response.StatusCode, code: response.Header.Get("Bramleygap-Code")}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			got.ids = append(got.ids, id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			got.done = true
			continue
		}
		var failure caller.ErrorBody
		c.Assert(json.Unmarshal([]byte(data), &failure), qt.IsNil)
		if failure.Error.Code != 0 {
			got.code = strconv.Itoa(int(failure.Error.Code))
			continue
		}
		var part chunk
		c.Assert(json.Unmarshal([]byte(data), &part), qt.IsNil)
		for _, choice := range part.Choices {
			if choice.Text != nil {
				got.text += *choice.Text
			}
			if choice.Delta != nil {
				got.text += choice.Delta.Content
			}
		}
		if part.Bramleygap != nil {
			got.final = part.Bramleygap
		}
		if limit > 0 && len(got.ids) >= limit {
			return got
		}
	}
	return got
}

const twelveTokenRequest = `{"model":"letters","prompt":"draft","max_tokens":12,"stream":true}`

func assertComplete(c *qt.C, got receivedResponse) {
	ids, text := expectedOutput(12)
	c.Assert(got.text, qt.Equals, text)
	c.Assert(got.done, qt.IsTrue)
	c.Assert(got.code, qt.Equals, "")
	c.Assert(got.final, qt.IsNotNil)
	c.Assert(got.final.Tokens, qt.Equals, uint64(12))
	c.Assert(got.final.Checksum, qt.Equals, stream.Checksum(0, ids))
	c.Assert(got.final.TextChecksum, qt.Equals, stream.TextChecksum(0, text))
}

// Guards against missing, repeated or wrong tokens after the loss of an attempt.
func TestLossesAreInvisibleToCaller(t *testing.T) {
	for name, faults := range map[string][]fault{
		"no loss":                   nil,
		"broken stream":             {{5, "break"}},
		"broken before first token": {{0, "break"}},
		"engine crashed":            {{5, "died"}},
		"stall":                     {{5, "stall"}},
		"duplicate":                 {{5, "duplicate"}},
		"gap":                       {{5, "gap"}},
		"broken twice":              {{5, "break"}, {8, "break"}},
		"every target":              {{2, "break"}, {4, "gap"}, {6, "break"}, {8, "died"}, {10, "break"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			cluster := newCluster(t, faults...)
			url, _, _ := cluster.startEntry(t, false)
			assertComplete(c, collect(c, post(c, url, "/v1/completions", twelveTokenRequest, ""), 0))
		})
	}
}
