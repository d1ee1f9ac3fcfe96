package operator

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/platform"
)

const checkFolder = "testdata/check"

var (
	// fileName has the code and the line of the only finding of a file.
	fileName     = regexp.MustCompile(`^(?:valid|(C\d+)(?:-[a-z]+)?-line(\d+))\.(?:json|toml)$`)
	codeInSource = regexp.MustCompile(`Code = "(C\d{3})"`)
	foundCode    = regexp.MustCompile(`(?m):(\d+): .* \((?:error|warning|change|info) (C\d+)\)$`)
)

func check(options CheckOptions) (string, error) {
	options.Platform, options.Now = platform.Protocol{}, time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)
	var out bytes.Buffer
	err := Check(context.Background(), options, &out)
	return out.String(), err
}

// Guards, for each code, against a finding that is not reported, is reported at another line, or is reported for a
// file that has another fault or none.
func TestEachFinding(t *testing.T) {
	files, err := os.ReadDir(checkFolder)
	qt.Assert(t, err, qt.IsNil)
	for _, file := range files {
		name := fileName.FindStringSubmatch(file.Name())
		if name == nil {
			continue
		}
		t.Run(file.Name(), func(t *testing.T) {
			out, err := check(CheckOptions{Files: []string{filepath.Join(checkFolder, "gateway.toml"), filepath.Join(checkFolder, file.Name())}})
			var want []string
			if name[1] != "" {
				want = []string{":" + name[2], name[1]}
			}
			var got []string
			for _, found := range foundCode.FindAllStringSubmatch(out, -1) {
				got = append(got, ":"+found[1], found[2])
			}
			qt.Check(t, got, qt.DeepEquals, want, qt.Commentf("%s", out))
			qt.Check(t, err != nil, qt.Equals, strings.HasPrefix(name[1], "C1"))
		})
	}
}

// Guards against a code without a file that shows it.
func TestEachCodeHasAFile(t *testing.T) {
	c := qt.New(t)
	source, err := os.ReadFile("../core/configcheck/finding.go")
	c.Assert(err, qt.IsNil)
	for _, code := range codeInSource.FindAllStringSubmatch(string(source), -1) {
		if code[1] == "C102" || code[1] == "C109" || code[1] >= "C400" && code[1] < "C500" {
			continue
		}
		files, err := filepath.Glob(filepath.Join(checkFolder, code[1]+"-*"))
		c.Assert(err, qt.IsNil)
		c.Check(len(files) > 0, qt.IsTrue, qt.Commentf("%s has no file in %s", code[1], checkFolder))
	}
}
