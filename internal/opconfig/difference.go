package opconfig

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Difference lists the changes from old to new, one per line: "+" adds, "-" removes,
// "~" changes a value. Old may be nil. The result is empty if nothing changed.
func Difference(old, new *Config) string {
	before, after := flatten(old), flatten(new)
	keys := make(map[string]bool)
	for key := range before {
		keys[key] = true
	}
	for key := range after {
		keys[key] = true
	}
	var lines []string
	for key := range keys {
		oldValue, inOld := before[key]
		newValue, inNew := after[key]
		switch {
		case inOld && !inNew:
			lines = append(lines, fmt.Sprintf("%s: - %s", key, oldValue))
		case !inOld && inNew:
			lines = append(lines, fmt.Sprintf("%s: + %s", key, newValue))
		case oldValue != newValue:
			lines = append(lines, fmt.Sprintf("%s: ~ %s -> %s", key, oldValue, newValue))
		}
	}
	sort.Strings(lines)
	return strings.Join(lines, "\n")
}

// flatten maps readable paths to the non-empty values of the configuration.
func flatten(c *Config) map[string]string {
	values := make(map[string]string)
	if c == nil {
		return values
	}
	set := func(path string, value any) {
		if text := fmt.Sprint(value); text != "" && text != "[]" {
			values[path] = text
		}
	}
	set("note", c.Note)
	set("retire_vms", c.RetireVMs)
	for _, m := range c.Members {
		set("member "+m.Name+" share", m.Share)
	}
	for _, a := range c.Accounts {
		path := "account " + a.Name
		set(path+" member", a.Member)
		set(path+" key_sha256", a.KeySHA256)
		set(path+" services", a.Services)
	}
	for _, class := range c.TargetClasses {
		path := "target_class " + class.Name
		set(path+" checks_sender", class.ChecksSender)
		set(path+" honours_fencing", class.HonoursFencing)
	}
	for i := range c.Services {
		flattenService(&c.Services[i], set)
	}
	return values
}

func flattenService(s *Service, set func(string, any)) {
	path := "service " + s.Name
	set(path+" kind", s.Kind)
	set(path+" model", s.Model)
	set(path+" target_class", s.TargetClass)
	set(path+" depends_on", s.DependsOn)
	setDuration(set, path+" timeout", s.Timeout)
	for _, version := range s.Versions {
		element := path + " version " + version.Name
		set(element+" share", version.Share)
		set(element+" adapter", version.Adapter)
		set(element+" on_too_little_traffic", version.OnTooLittleTraffic)
		setDuration(set, element+" keep_previous", version.KeepPrevious)
		if !version.Deadline.IsZero() {
			set(element+" deadline", version.Deadline.UTC().Format(time.RFC3339))
		}
	}
	for _, route := range s.Routes {
		set(path+" route "+route.Method+" "+route.Path+" once", route.Once)
	}
}

func setDuration(set func(string, any), path string, d Duration) {
	if d.Duration != 0 {
		set(path, d.Duration)
	}
}
