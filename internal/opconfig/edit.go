package opconfig

import (
	"fmt"
	"reflect"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"bramleygap/internal/tomlcheck"
)

// SetDeadline returns the text with the deadline of one version set. Comments and
// layout are preserved if the version is written as a separate table; otherwise the
// whole document is rewritten without comments.
func SetDeadline(text, service, version string, deadline time.Time) (string, error) {
	wanted, err := Parse(text)
	if err != nil {
		return "", err
	}
	target := wanted.version(service, version)
	if target == nil {
		return "", fmt.Errorf("service %q has no version %q; add a [[service.version]] with share = 0 first", service, version)
	}
	target.Deadline = deadline.UTC().Truncate(time.Second)
	if edited, ok := editDeadline(text, wanted, service, version, target.Deadline); ok {
		return edited, nil
	}
	var out strings.Builder
	if err := toml.NewEncoder(&out).Encode(wanted); err != nil {
		return "", err
	}
	if _, err := Parse(out.String()); err != nil {
		return "", err
	}
	return out.String(), nil
}

// editDeadline replaces or inserts the line of the deadline and reports whether the
// result parses to exactly the wanted configuration.
func editDeadline(text string, wanted *Config, service, version string, deadline time.Time) (string, bool) {
	var scratch Config
	d, _ := tomlcheck.Decode("", text, MaxTextBytes, &scratch)
	path := versionPath(wanted, service, version)
	line := "deadline = " + deadline.Format(time.RFC3339)
	lines := strings.Split(text, "\n")
	if lineNumber := d.ExactLine(path + ".deadline"); lineNumber > 0 {
		lines[lineNumber-1] = line
	} else if lineNumber := d.ExactLine(path + ".name"); lineNumber > 0 {
		lines = append(lines[:lineNumber:lineNumber], append([]string{line}, lines[lineNumber:]...)...)
	}
	edited := strings.Join(lines, "\n")
	config, err := Parse(edited)
	return edited, err == nil && equal(config, wanted)
}

func versionPath(c *Config, service, version string) string {
	for i := range c.Services {
		for j := range c.Services[i].Versions {
			if c.Services[i].Name == service && c.Services[i].Versions[j].Name == version {
				return fmt.Sprintf("service[%d].version[%d]", i, j)
			}
		}
	}
	return ""
}

// equal compares all fields, and deadlines as instants.
func equal(a, b *Config) bool { return reflect.DeepEqual(withUTC(a), withUTC(b)) }

func withUTC(c *Config) Config {
	copied := *c
	copied.Services = append([]Service(nil), c.Services...)
	for i := range copied.Services {
		versions := append([]Version(nil), copied.Services[i].Versions...)
		for j := range versions {
			versions[j].Deadline = versions[j].Deadline.UTC()
		}
		copied.Services[i].Versions = versions
	}
	return copied
}
