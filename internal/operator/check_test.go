package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	qt "github.com/frankban/quicktest"

	"bramleygap/internal/core/configcheck"
	"bramleygap/platform"
)

const checkFolder = "testdata/check"

var (
	// fileName has the code and the line of the only finding of a file.
	fileName     = regexp.MustCompile(`^(?:valid|(C\d+)(?:-[a-z]+)?-line(\d+))\.(?:json|toml)$`)
	codeInSource = regexp.MustCompile(`Code = "(C\d{3})"`)
	foundCode    = regexp.MustCompile(`(?m):(\d+): .* \((error|warning|change|info) (C\d+)\)$`)
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
				got = append(got, ":"+found[1], found[3])
			}
			qt.Check(t, got, qt.DeepEquals, want, qt.Commentf("%s", out))
			qt.Check(t, err != nil, qt.Equals, strings.HasPrefix(name[1], "C1"))
		})
	}
}

// Guards against a code without a file that shows it, and against one that the manual does not explain.
func TestEachCodeHasFileAndRow(t *testing.T) {
	c := qt.New(t)
	manual, err := os.ReadFile("../../docs/configuration-check.md")
	c.Assert(err, qt.IsNil)
	source, err := os.ReadFile("../core/configcheck/finding.go")
	c.Assert(err, qt.IsNil)
	for _, code := range codeInSource.FindAllStringSubmatch(string(source), -1) {
		c.Check(strings.Count(string(manual), "\n| "+code[1]+" | "), qt.Equals, 1, qt.Commentf("rows of %s", code[1]))
		// TestBadInput and TestEachDifference have no files for these.
		if slices.Contains([]string{"C102", "C109", "C411"}, code[1]) {
			continue
		}
		files, err := filepath.Glob("testdata/*/" + code[1] + "-*")
		c.Assert(err, qt.IsNil)
		c.Check(len(files) > 0, qt.IsTrue, qt.Commentf("%s has no file", code[1]))
	}
}

// Guards against a wrong exit status in CI, and against JSON that lacks a finding or its place.
func TestCheckForCI(t *testing.T) {
	c := qt.New(t)
	file := func(name string) []string { return []string{filepath.Join(checkFolder, name)} }
	for _, test := range []struct {
		options CheckOptions
		want    error
	}{
		{CheckOptions{Files: file("valid.json"), Strict: true}, nil},
		{CheckOptions{Files: file("C301-line2.json")}, nil},
		{CheckOptions{Files: file("C301-line2.json"), Strict: true}, ErrWarnings},
		{CheckOptions{Files: file("C301-line2.json"), Strict: true, Accept: []string{"C301"}}, nil},
		{CheckOptions{Files: file("C501-line2.json"), Strict: true}, nil},
		{CheckOptions{Files: append(file("C301-line2.json"), file("C108-line2.json")...), Strict: true}, ErrInvalid},
		{CheckOptions{Files: file("C108-line2.json"), Accept: []string{"C108"}}, ErrInvalid},
		{CheckOptions{Files: file("none.json")}, ErrInvalid},
	} {
		_, err := check(test.options)
		c.Check(err, qt.Equals, test.want, qt.Commentf("%+v", test.options))
	}
	for err, status := range map[error]int{ErrInvalid: 2, ErrWarnings: 1} {
		c.Check(err.(kong.ExitCoder).ExitCode(), qt.Equals, status)
	}
	out, err := check(CheckOptions{Files: append(file("C108-line2.json"), file("valid.json")...), JSON: true})
	c.Check(err, qt.Equals, ErrInvalid)
	var report struct {
		Files []struct {
			File, Kind string
			Valid      bool
			Findings   []configcheck.Finding
		}
	}
	c.Assert(json.Unmarshal([]byte(out), &report), qt.IsNil)
	c.Check(report.Files[1].Valid, qt.IsTrue)
	c.Check(report.Files[1].Findings, qt.HasLen, 0)
	c.Check(report.Files[0].Findings, qt.DeepEquals, []configcheck.Finding{{
		Code: configcheck.BadPrefix, Severity: configcheck.Error, Line: 2, Key: "routes[0].prefix", Text: `is "/a"; write a path that begins and ends with a slash`,
	}})
}

// Guards, for each difference, against one that is not shown, is shown at another line or without the traffic that
// it moves, and against an order by file in place of the effect on callers.
func TestEachDifference(t *testing.T) {
	texts := map[string]string{
		"C401-line1.json":  `go to route "all" \(service s\)`,
		"C402-line5.json":  `went to route "split" \(s 90.0%, x 10.0%\) before and go to service x`,
		"C403-line4.json":  `serves h/y/\* in place of h/x/\*; requests for the latter go to route "all"`,
		"C404-line3.json":  `15.0% of the requests .*: s 90.0% -> 75.0%, x 10.0% -> 25.0%`,
		"C405-line2.json":  `timeout 2s -> 1.5s`,
		"C414-line5.toml":  `10.0% of the requests .*: v 100.0% -> 90.0%, w 0.0% -> 10.0%`,
		"C415-line12.toml": `deadline none -> 2027-01-01`,
		"C423-line9.json":  `loses 1 keys`,
		"same.json":        `no difference from the version in force`,
		"several.json":     `(?s)C401.*C411.*10.0% .*C404`,
	}
	files, err := os.ReadDir("testdata/against")
	qt.Assert(t, err, qt.IsNil)
	for _, file := range files {
		name := fileName.FindStringSubmatch(file.Name())
		if name == nil && texts[file.Name()] == "" {
			continue
		}
		t.Run(file.Name(), func(t *testing.T) {
			base := "testdata/against/base" + filepath.Ext(file.Name())
			out, _ := check(CheckOptions{Files: []string{filepath.Join("testdata/against", file.Name())}, Against: base})
			qt.Check(t, out, qt.Matches, `(?s).*`+texts[file.Name()]+`.*`)
			if name == nil {
				return
			}
			var got []string
			for _, found := range foundCode.FindAllStringSubmatch(out, -1) {
				if found[2] == "error" || found[2] == "change" {
					got = append(got, ":"+found[1], found[3])
				}
			}
			qt.Check(t, got, qt.DeepEquals, []string{":" + name[2], name[1]}, qt.Commentf("%s", out))
		})
	}
	c := qt.New(t)
	out, err := check(CheckOptions{Files: []string{"testdata/against/same.json"}, Against: "testdata/against/base.toml"})
	c.Check(err, qt.Equals, ErrInvalid)
	c.Check(out, qt.Matches, `.*cannot be compared with .*operator configuration.*\n`)
	out, err = check(CheckOptions{Files: []string{"testdata/against/same.json"}, Against: filepath.Join(checkFolder, "C108-line2.json")})
	c.Check(err, qt.Equals, ErrInvalid)
	c.Check(out, qt.Matches, `.*cannot be compared with .*line 2: .*\n`)
}

// processorTime returns the processor time of the test process. The time on the clock depends on what else the machine
// does.
func processorTime(t *testing.T) time.Duration {
	var usage syscall.Rusage
	qt.Assert(t, syscall.Getrusage(syscall.RUSAGE_SELF, &usage), qt.IsNil)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Guards against input that ends the process, takes long or passes: files of another kind and size, cut or hostile
// ones. The time limit is far above the second that a check may take, so that a busy machine does not fail it;
// without the bounds, texts like these took from 6 s to more than a minute on a busy machine.
func TestBadInput(t *testing.T) {
	const half = 1 << 19
	repeated := func(text string, bytes int) string { return strings.Repeat(text, bytes/len(text)) }
	valid, err := os.ReadFile(filepath.Join(checkFolder, "valid.json"))
	qt.Assert(t, err, qt.IsNil)
	for name, test := range map[string]struct{ file, text, code string }{
		"10 MB of JSON":     {"a.json", repeated(`{"routes":[`, 10<<20), "C102"},
		"10 MB of TOML":     {"a.toml", repeated("a = 1\n", 10<<20), "C102"},
		"long TOML":         {"a.toml", repeated("#\n", 3*half), "C102"},
		"empty JSON":        {"a.json", "", "C101"},
		"other JSON":        {"a.json", "[]", "C103"},
		"cut JSON":          {"a.json", string(valid[:len(valid)/2]), "C101"},
		"second value":      {"a.json", string(valid) + "{}", "C101"},
		"zero bytes":        {"a.toml", repeated("\x00", half), "C101"},
		"nested JSON":       {"a.json", repeated("[", 2*half), "C101"},
		"nested TOML":       {"a.toml", "a = " + repeated("{b=", half), "C101"},
		"long key":          {"a.toml", repeated("a.", half) + "a = 1", "C101"},
		"elements":          {"a.json", `{"routes":[` + repeated("1,", 2*half) + "1]}", "C102"},
		"number too large":  {"a.json", `{"version":1e99}`, "C103"},
		"quoted brackets":   {"a.toml", `note = "` + repeated("[", 1000) + "\"\nx = '''" + repeated("{", 1000) + "'''", "C104"},
		"many dependencies": {"a.toml", "[[service]]\ndepends_on = [" + repeated(`"x",`, 2*half-100) + "]", "C105"},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), test.file)
			qt.Assert(t, os.WriteFile(path, []byte(test.text), 0o600), qt.IsNil)
			start := processorTime(t)
			out, err := check(CheckOptions{Files: []string{path}})
			used := processorTime(t) - start
			qt.Check(t, used < time.Second, qt.IsTrue, qt.Commentf("%v", used))
			qt.Check(t, err, qt.Equals, ErrInvalid)
			qt.Check(t, out, qt.Contains, "(error "+test.code+")")
		})
	}
}

// Guards against panics on arbitrary text, and against a text that differs from itself.
func FuzzCheck(f *testing.F) {
	for _, name := range []string{"valid.json", "C308-line8.json", "C302-line3.json", "valid.toml", "C315-line4.toml"} {
		text, err := os.ReadFile(filepath.Join(checkFolder, name))
		qt.Assert(f, err, qt.IsNil)
		f.Add(string(text), strings.HasSuffix(name, "json"))
	}
	f.Fuzz(func(t *testing.T, text string, asJSON bool) {
		file := checkedFile{name: map[bool]string{true: "a.json"}[asJSON], text: text}
		file.check(CheckOptions{Platform: platform.Protocol{}})
		if file.config == nil || configcheck.Has(file.findings, configcheck.Error) {
			return
		}
		file.findings = append(file.findings, configcheck.Warnings(file.config)...)
		for _, found := range configcheck.Report(append(file.findings, configcheck.WithGateway(file.config, configcheck.Gateway{})...)) {
			if found.Line < 1 || found.Line > 1+strings.Count(text, "\n") {
				t.Fatalf("line of %+v", found)
			}
		}
		if changes := configcheck.Compare(file.config, file.config); len(changes) > 0 {
			t.Fatalf("difference from itself: %v", changes)
		}
		_ = configcheck.Compare(&configcheck.Configuration{}, file.config)
		_ = configcheck.Compare(file.config, &configcheck.Configuration{})
	})
}
