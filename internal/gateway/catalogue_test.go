package gateway

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against log messages that are missing from the operations documentation.
func TestEveryLogLineIsInTheCatalogue(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	files, err := filepath.Glob("*.go")
	c.Assert(err, qt.IsNil)
	message := regexp.MustCompile(`(?s)\.\s*Msg\("([^"]+)"\)`)
	found := 0
	for _, file := range files {
		if strings.HasSuffix(file, "_test.go") {
			continue
		}
		text, err := os.ReadFile(file)
		c.Assert(err, qt.IsNil)
		for _, m := range message.FindAllStringSubmatch(string(text), -1) {
			found++
			c.Check(strings.Contains(string(page), "`"+m[1]+"`"), qt.IsTrue, qt.Commentf("%s: %q is not in docs/OPERATIONS.md", file, m[1]))
		}
	}
	c.Check(found > 30, qt.IsTrue)
}
