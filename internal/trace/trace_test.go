package trace

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against malformed traces that would be replayed in part.
func TestDecodeRejects(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field":  `{"at_ms":0,"kind":"call","id":"a","account":"x","service":"s","method":"GET","path":"/","colour":1}`,
		"unknown kind":   `{"at_ms":0,"kind":"sleep"}`,
		"negative time":  `{"at_ms":-1,"kind":"fault","action":"kill_engine"}`,
		"missing prompt": `{"at_ms":0,"kind":"generation","id":"a","account":"x","service":"s"}`,
		"duplicate id":   strings.Repeat(`{"at_ms":0,"kind":"call","id":"a","account":"x","service":"s","method":"GET","path":"/"}`+"\n", 2),
		"unknown action": `{"at_ms":0,"kind":"fault","action":"reboot"}`,
		"forward fault":  `{"at_ms":0,"kind":"fault","action":"kill_engine","after_id":"later"}`,
		"two objects":    `{"at_ms":0,"kind":"fault","action":"kill_engine"} {}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Decode(strings.NewReader(text))
			qt.Assert(t, err, qt.ErrorMatches, `(?s)line \d+.*`)
		})
	}
}

func FuzzDecode(f *testing.F) {
	f.Add("# comment\n" + `{"at_ms":5,"kind":"generation","id":"a","account":"x","service":"s","prompt":"p","max_tokens":3}`)
	f.Add(`{"at_ms":0,"kind":"fault","action":"store_outage"}`)
	f.Add("{")
	f.Fuzz(func(t *testing.T, text string) {
		events, err := Decode(strings.NewReader(text))
		if err != nil {
			return
		}
		for _, event := range events {
			if event.AtMS < 0 {
				t.Fatal("accepted a negative time")
			}
		}
	})
}

func FuzzDecodeOutcomes(f *testing.F) {
	f.Add(`{"id":"a","complete":true,"tokens":4,"runs":1}`)
	f.Add(`{"id":"b","codes":[3001]}`)
	f.Fuzz(func(t *testing.T, text string) {
		outcomes, err := DecodeOutcomes(strings.NewReader(text))
		if err == nil && outcomes[""].ID != "" {
			t.Fatal("accepted an outcome without id")
		}
	})
}
