package opconfig

import (
	"errors"
	"os"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/tomlcheck"
)

const valid = `
[[member]]
name = "m"
share = 60

[[service]]
name = "chat"
kind = "model"
model = "large"

# first version
[[service.version]]
name = "v1" # stable
share = 100

[[service.version]]
name = "v2"
share = 0
`

// Guards against an invalid text that is accepted, or rejected without naming the key.
func TestParseNamesEachProblem(t *testing.T) {
	const service = "[[service]]\nname = \"s\"\nkind = \"model\"\nmodel = \"m\"\n"
	const version = "[[service.version]]\nname = \"v\"\nshare = 100\n"
	const app = "[[service]]\nname = \"a\"\nkind = \"application\"\n"
	const route = "[[service.route]]\nmethod = \"GET\"\npath = \"/x\"\n"
	tests := map[string]struct{ text, key string }{
		"unknown key":          {"colour = 1\n" + valid, "colour"},
		"unknown nested key":   {service + "[[service.version]]\nname = \"v\"\nshare = 100\nshard = 1\n", "service[0].version[0].shard"},
		"wrong type":           {"note = 5\n" + valid, "note"},
		"member over 100":      {valid + "[[member]]\nname = \"n\"\nshare = 50\n", "member[1].share"},
		"member share zero":    {valid + "[[member]]\nname = \"n\"\nshare = 0\n", "member[1].share"},
		"member share NaN":     {valid + "[[member]]\nname = \"n\"\nshare = nan\n", "member[1].share"},
		"duplicate member":     {valid + "[[member]]\nname = \"m\"\nshare = 1\n", "member[1].name"},
		"bad name":             {valid + "[[member]]\nname = \"a/b\"\nshare = 1\n", "member[1].name"},
		"account's member":     {valid + "[[account]]\nname = \"a\"\nmember = \"x\"\nkey_sha256 = \"" + strings.Repeat("a", 64) + "\"\n", "account[0].member"},
		"upper-case key hash":  {valid + "[[account]]\nname = \"a\"\nmember = \"m\"\nkey_sha256 = \"" + strings.Repeat("A", 64) + "\"\n", "account[0].key_sha256"},
		"versions under 100":   {service + "[[service.version]]\nname = \"v\"\nshare = 99\n", "service[0].version"},
		"versions over 100":    {service + version + "[[service.version]]\nname = \"w\"\nshare = 1\ndeadline = 2030-01-01T00:00:00Z\n", "service[0].version"},
		"local deadline":       {service + "[[service.version]]\nname = \"v\"\nshare = 100\ndeadline = 2030-01-01T00:00:00\n", "service[0].version[0].deadline"},
		"no version":           {service, "service[0].version"},
		"no service":           {"", "service"},
		"unknown class":        {service + "target_class = \"c\"\n" + version, "service[0].target_class"},
		"unknown dependency":   {service + "depends_on = [\"x\"]\n" + version, "service[0].depends_on[0]"},
		"cyclic dependency":    {service + "depends_on = [\"a\"]\n" + version + app + "depends_on = [\"s\"]\n" + route, "service[0].depends_on"},
		"own dependency":       {app + "depends_on = [\"a\"]\n" + route, "service[0].depends_on"},
		"no route":             {app, "service[0].route"},
		"inner star":           {app + "[[service.route]]\nmethod = \"GET\"\npath = \"/a*b\"\n", "service[0].route[0].path"},
		"bad method":           {app + "[[service.route]]\nmethod = \"get\"\npath = \"/a\"\n", "service[0].route[0].method"},
		"duplicate route":      {app + route + route, "service[0].route[1]"},
		"bad duration":         {service + "timeout = \"9 days\"\n" + version, "service[0].timeout"},
		"negative duration":    {service + "timeout = \"-1s\"\n" + version, "service[0].timeout"},
		"duplicate retired VM": {"retire_vms = [\"a\", \"a\"]\n" + valid, "retire_vms[1]"},
		"too large":            {strings.Repeat("#", MaxTextBytes+1), ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := Parse(test.text)
			var problems tomlcheck.Problems
			c.Assert(errors.As(err, &problems), qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(problems, qt.HasLen, 1, qt.Commentf("%v", err))
			c.Assert(problems[0].Key, qt.Equals, test.key)
		})
	}
}

// Guards against reports that stop at the first problem or name the wrong line.
func TestParseReportsAllProblemsWithLines(t *testing.T) {
	c := qt.New(t)
	_, err := Parse("note = 1\n[[service]]\nname = \"s\"\nkind = \"model\"\nmodel = \"\"\ntimeout = \"x\"\n[[service.version]]\nname = \"v\"\nshare = \"all\"\n")
	var problems tomlcheck.Problems
	c.Assert(errors.As(err, &problems), qt.IsTrue)
	var lines []int
	for _, problem := range problems {
		lines = append(lines, problem.Line)
	}
	// note, model, timeout, and version twice: the share has a wrong type and the sum is 0.
	c.Assert(lines, qt.DeepEquals, []int{1, 2, 5, 6, 9}, qt.Commentf("%v", err))
}

// Guards against a configuration that becomes invalid as time passes: nodes that
// restart after the deadline could not adopt it.
func TestPassedDeadlineIsRejectedOnlyWhenNew(t *testing.T) {
	c := qt.New(t)
	deadline := time.Date(2020, 1, 1, 0, 0, 0, 0, time.UTC)
	text, err := SetDeadline(valid, "chat", "v2", deadline)
	c.Assert(err, qt.IsNil)
	accepted, err := ParseSubmitted(text, deadline.Add(-time.Hour), nil)
	c.Assert(err, qt.IsNil)
	later := deadline.Add(time.Hour)
	_, err = Parse(text)
	c.Assert(err, qt.IsNil)
	_, err = ParseSubmitted(text, later, accepted)
	c.Assert(err, qt.IsNil)
	_, err = ParseSubmitted(text, later, nil)
	c.Assert(err, qt.ErrorMatches, `(?s)line \d+: service\[0\]\.version\[1\]\.deadline: .*write a later time`)
}

// Guards against an edit that changes anything but the deadline or drops comments.
func TestSetDeadlineChangesOneLine(t *testing.T) {
	c := qt.New(t)
	before, err := Parse(valid)
	c.Assert(err, qt.IsNil)
	text := valid
	for _, day := range []int{1, 2} {
		text, err = SetDeadline(text, "chat", "v2", time.Date(2027, 1, day, 0, 0, 0, 0, time.UTC))
		c.Assert(err, qt.IsNil)
	}
	c.Assert(strings.Contains(text, "# first version"), qt.IsTrue)
	after, err := Parse(text)
	c.Assert(err, qt.IsNil)
	c.Assert(Difference(before, after), qt.Equals, "service chat version v2 deadline: + 2027-01-02T00:00:00Z")
	inline := "[[service]]\nname = \"s\"\nkind = \"model\"\nmodel = \"m\"\nversion = [{name = \"v\", share = 100}]\n"
	text, err = SetDeadline(inline, "s", "v", time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC))
	c.Assert(err, qt.IsNil)
	c.Assert(strings.Contains(text, "2027-01-01"), qt.IsTrue)
}

// Guards against an invalid example file, which operators copy.
func TestExampleIsValid(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile("../../examples/operators.toml")
	c.Assert(err, qt.IsNil)
	_, err = Parse(string(text))
	c.Assert(err, qt.IsNil)
}

// Guards against panics and against texts whose meaning changes when the deadline is edited.
func FuzzParse(f *testing.F) {
	f.Add(valid)
	f.Add("[[service]]\nname = \"a\"\nkind = \"application\"\n[[service.route]]\nmethod = \"GET\"\npath = \"/*\"\n")
	f.Add("service = [{name = \"s\", kind = \"model\", model = \"m\", version = [{name = \"v\", share = 1e2}]}]")
	f.Add("note = '''\n[[service]]\n'''\n[[member]]")
	f.Fuzz(func(t *testing.T, text string) {
		config, err := Parse(text)
		if err != nil {
			_ = err.Error()
			return
		}
		if d := Difference(config, config); d != "" {
			t.Fatalf("difference to itself: %s", d)
		}
		for _, s := range config.Services {
			for _, v := range s.Versions {
				edited, err := SetDeadline(text, s.Name, v.Name, time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC))
				if err != nil {
					t.Fatal(err)
				}
				again, err := Parse(edited)
				if err != nil || strings.Count(Difference(config, again), "\n") > 0 {
					t.Fatalf("edit changed more than the deadline: %v\n%s", err, Difference(config, again))
				}
			}
		}
	})
}

// Guards against a report that takes long because each element of a long list is a problem.
func TestProblemsAreBounded(t *testing.T) {
	c := qt.New(t)
	_, err := Parse("[[service]]\ndepends_on = [" + strings.Repeat(`"x",`, 5000) + "]")
	var problems tomlcheck.Problems
	c.Assert(errors.As(err, &problems), qt.IsTrue)
	c.Check(problems, qt.HasLen, 1001)
	c.Check(problems[0].Text, qt.Equals, "more than 1000 problems; correct the others first")
}
