package result

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a code whose number range contradicts its class, which would
// report "not run" to a caller for a request that may have run.
func TestClassMatchesNumberRange(t *testing.T) {
	c := qt.New(t)
	for _, code := range All() {
		if code == CallInProgress {
			// The call itself is rejected, but the earlier call with the same key may have run.
			c.Assert(code.Class(), qt.Equals, ClassUnknown)
			continue
		}
		c.Assert(uint32(code)/1000, qt.Equals, uint32(code.Class()), qt.Commentf("%s", code))
	}
}

// Guards against codes missing from the documentation.
func TestEveryCodeIsDocumented(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/result-codes.md")
	c.Assert(err, qt.IsNil)
	for _, code := range All() {
		c.Check(strings.Contains(string(page), "| `"+code.String()+"` |"), qt.IsTrue, qt.Commentf("%s", code))
	}
}
