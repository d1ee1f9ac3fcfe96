package opconfig

import (
	"fmt"
	"math"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"bramleygap/internal/tomlcheck"
)

const (
	// MaxTextBytes bounds an operator configuration. It must fit into one table row
	// and one message between processes.
	MaxTextBytes = 1 << 20
	// shareTolerance is in percent; it absorbs rounding such as 33.3 + 33.3 + 33.4.
	shareTolerance = 1e-6
)

// Values of Version.OnTooLittleTraffic.
const (
	WithdrawOnTooLittleTraffic = "withdraw"
	FinishOnTooLittleTraffic   = "finish"
)

var keyHashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// Parse validates the text of an operator configuration. The result does not
// depend on the current time: an accepted configuration stays valid when its
// deadlines have passed. The error is a tomlcheck.Problems with every problem found.
func Parse(text string) (*Config, error) {
	config, d := parse(text)
	return configOrError(config, d)
}

// ParseSubmitted validates a text that an operator submits at the time now. Unlike
// Parse, it also rejects deadlines that have passed, unless previous, the configuration
// in force (nil if none), has the same deadline for the version.
func ParseSubmitted(text string, now time.Time, previous *Config) (*Config, error) {
	config, d := parse(text)
	if config != nil {
		checkDeadlines(d, config, now, previous)
	}
	return configOrError(config, d)
}

func configOrError(config *Config, d *tomlcheck.Document) (*Config, error) {
	if err := d.Err(); err != nil {
		return nil, err
	}
	return config, nil
}

// parse returns a nil Config only if the text is too long or not valid TOML.
func parse(text string) (*Config, *tomlcheck.Document) {
	config := &Config{}
	d, ok := tomlcheck.Decode("", text, MaxTextBytes, config)
	if !ok {
		return nil, d
	}
	v := newValidator(d, config)
	v.members()
	v.accounts()
	v.targetClasses()
	v.services()
	v.dependencies()
	v.retireVMs()
	return config, d
}

type validator struct {
	*tomlcheck.Document
	config *Config
	// serviceIndex holds the index of the first service of each name.
	serviceIndex map[string]int
	memberNames  map[string]bool
	classNames   map[string]bool
}

func newValidator(d *tomlcheck.Document, config *Config) *validator {
	v := &validator{Document: d, config: config, serviceIndex: make(map[string]int), memberNames: make(map[string]bool), classNames: make(map[string]bool)}
	for i := range config.Services {
		if _, ok := v.serviceIndex[config.Services[i].Name]; !ok {
			v.serviceIndex[config.Services[i].Name] = i
		}
	}
	for _, m := range config.Members {
		v.memberNames[m.Name] = true
	}
	for _, class := range config.TargetClasses {
		v.classNames[class.Name] = true
	}
	return v
}

// checkUniqueName checks the name of an element and that no earlier element has it.
func (v *validator) checkUniqueName(seen map[string]bool, key, kind, name string) {
	v.Name(key, name)
	if name != "" && seen[name] {
		v.Add(key, "%s %q exists already; write another name or remove one", kind, name)
	}
	seen[name] = true
}

func validShare(share float64) bool {
	return !math.IsNaN(share) && share >= 0 && share <= 100
}

func (v *validator) members() {
	seen := make(map[string]bool)
	total := 0.0
	for i, m := range v.config.Members {
		key := fmt.Sprintf("member[%d]", i)
		v.checkUniqueName(seen, key+".name", "member", m.Name)
		if !validShare(m.Share) || m.Share == 0 {
			v.Add(key+".share", "is %v; write a percentage above 0 and at most 100", m.Share)
		}
		total += m.Share
	}
	if total > 100+shareTolerance {
		v.Add(fmt.Sprintf("member[%d].share", len(v.config.Members)-1), "the shares of all members add up to %v percent; lower them to at most 100", total)
	}
}

func (v *validator) accounts() {
	seen := make(map[string]bool)
	hashes := make(map[string]string)
	for i, a := range v.config.Accounts {
		key := fmt.Sprintf("account[%d]", i)
		v.checkUniqueName(seen, key+".name", "account", a.Name)
		if !v.memberNames[a.Member] {
			v.Add(key+".member", "member %q does not exist; write the name of a [[member]]", a.Member)
		}
		if !keyHashPattern.MatchString(a.KeySHA256) {
			v.Add(key+".key_sha256", "is not a key hash; write the SHA-256 of the key as 64 lower-case hexadecimal digits")
		} else if other, ok := hashes[a.KeySHA256]; ok {
			v.Add(key+".key_sha256", "account %q has the same key; give each account its own", other)
		}
		hashes[a.KeySHA256] = a.Name
		v.serviceNames(key+".services", a.Services)
	}
}

func (v *validator) serviceNames(key string, names []string) {
	seen := make(map[string]bool)
	for i, name := range names {
		element := fmt.Sprintf("%s[%d]", key, i)
		if _, ok := v.serviceIndex[name]; !ok {
			v.Add(element, "service %q does not exist; write the name of a [[service]]", name)
		}
		if seen[name] {
			v.Add(element, "service %q is listed twice; remove one", name)
		}
		seen[name] = true
	}
}

func (v *validator) targetClasses() {
	seen := make(map[string]bool)
	for i, class := range v.config.TargetClasses {
		v.checkUniqueName(seen, fmt.Sprintf("target_class[%d].name", i), "target class", class.Name)
	}
}

func (v *validator) services() {
	// An empty configuration, for example from a wrong file, would stop all services.
	if len(v.config.Services) == 0 {
		v.Add("service", "no service is listed; write at least one [[service]]")
	}
	seen := make(map[string]bool)
	for i := range v.config.Services {
		s := &v.config.Services[i]
		key := fmt.Sprintf("service[%d]", i)
		v.checkUniqueName(seen, key+".name", "service", s.Name)
		v.targetClass(key+".target_class", s.TargetClass)
		if s.Timeout.Duration < 0 {
			v.Add(key+".timeout", "is negative; write a duration such as \"90s\", or remove the key for the default")
		}
		switch s.Kind {
		case KindModel:
			v.modelService(key, s)
		case KindApplication:
			v.applicationService(key, s)
		default:
			v.Add(key+".kind", "is %q; write %q or %q", s.Kind, KindModel, KindApplication)
		}
	}
}

func (v *validator) targetClass(key, name string) {
	if name != "" && !v.classNames[name] {
		v.Add(key, "target class %q does not exist; write the name of a [[target_class]]", name)
	}
}

func (v *validator) modelService(key string, s *Service) {
	v.Name(key+".model", s.Model)
	if len(s.Routes) > 0 {
		v.Add(key+".route", "a model service has no routes of its own; remove them or write kind = %q", KindApplication)
	}
	if len(s.Versions) == 0 {
		v.Add(key+".version", "no version is listed; write at least one [[service.version]]")
		return
	}
	v.versions(key, s.Versions)
}

func (v *validator) versions(serviceKey string, versions []Version) {
	seen := make(map[string]bool)
	total := 0.0
	rollout := false
	for i, version := range versions {
		key := fmt.Sprintf("%s.version[%d]", serviceKey, i)
		v.checkUniqueName(seen, key+".name", "version", version.Name)
		if version.Adapter != "" {
			v.Name(key+".adapter", version.Adapter)
		}
		if !validShare(version.Share) {
			v.Add(key+".share", "is %v; write a percentage from 0 to 100", version.Share)
		}
		switch version.OnTooLittleTraffic {
		case "", WithdrawOnTooLittleTraffic, FinishOnTooLittleTraffic:
		default:
			v.Add(key+".on_too_little_traffic", "is %q; write %q or %q", version.OnTooLittleTraffic, WithdrawOnTooLittleTraffic, FinishOnTooLittleTraffic)
		}
		if version.KeepPrevious.Duration < 0 {
			v.Add(key+".keep_previous", "is negative; write a duration such as \"30m\"")
		}
		total += version.Share
		rollout = rollout || !version.Deadline.IsZero()
	}
	switch {
	case total > 100+shareTolerance:
		v.Add(serviceKey+".version", "the shares of the versions add up to %v percent; lower them to 100", total)
	case total < 100-shareTolerance && !rollout:
		v.Add(serviceKey+".version", "the shares of the versions add up to %v percent; write shares that add up to 100, or a deadline to roll a version out", total)
	}
}

func (v *validator) applicationService(key string, s *Service) {
	if s.Model != "" {
		v.Add(key+".model", "an application service has no model; remove the key or write kind = %q", KindModel)
	}
	if len(s.Versions) > 0 {
		v.Add(key+".version", "an application service has no versions; remove them or write kind = %q", KindModel)
	}
	if len(s.Routes) == 0 {
		v.Add(key+".route", "no route is listed; write at least one [[service.route]]")
	}
	seen := make(map[string]bool)
	for i, route := range s.Routes {
		element := fmt.Sprintf("%s.route[%d]", key, i)
		v.route(element, route)
		name := route.Method + " " + route.Path
		if seen[name] {
			v.Add(element, "route %s exists already; remove one", name)
		}
		seen[name] = true
	}
}

func (v *validator) route(key string, route Route) {
	methods := []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete}
	if !slices.Contains(methods, route.Method) {
		v.Add(key+".method", "is %q; write one of %s", route.Method, strings.Join(methods, ", "))
	}
	if !strings.HasPrefix(route.Path, "/") || strings.ContainsAny(route.Path, " ?#") {
		v.Add(key+".path", "is %q; write a path that starts with \"/\" and has no query", route.Path)
	}
	if star := strings.Index(route.Path, "*"); star >= 0 && star != len(route.Path)-1 {
		v.Add(key+".path", "is %q; write \"*\" only as the last character", route.Path)
	}
}

// dependencies checks that the services exist and reports each cycle once.
func (v *validator) dependencies() {
	for i := range v.config.Services {
		v.serviceNames(fmt.Sprintf("service[%d].depends_on", i), v.config.Services[i].DependsOn)
	}
	search := cycleSearch{validator: v, place: make(map[string]int), done: make(map[string]bool)}
	for i := range v.config.Services {
		search.from(v.config.Services[i].Name)
	}
}

// cycleSearch follows the dependencies of services; path holds the services that lead to the current one, and place
// their indices in it.
type cycleSearch struct {
	*validator
	path  []string
	place map[string]int
	done  map[string]bool
}

func (s *cycleSearch) from(name string) {
	index, exists := s.serviceIndex[name]
	if start, ok := s.place[name]; ok {
		cycle := append(slices.Clone(s.path[start:]), name)
		s.Add(fmt.Sprintf("service[%d].depends_on", index), "the dependencies form a cycle %s; remove one of them", strings.Join(cycle, " -> "))
		return
	}
	if !exists || s.done[name] {
		return
	}
	s.place[name] = len(s.path)
	s.path = append(s.path, name)
	for _, next := range s.config.Services[index].DependsOn {
		s.from(next)
	}
	s.path = s.path[:len(s.path)-1]
	delete(s.place, name)
	s.done[name] = true
}

func (v *validator) retireVMs() {
	seen := make(map[string]bool)
	for i, vm := range v.config.RetireVMs {
		key := fmt.Sprintf("retire_vms[%d]", i)
		v.Name(key, vm)
		if seen[vm] {
			v.Add(key, "VM %q is listed twice; remove one", vm)
		}
		seen[vm] = true
	}
}

func checkDeadlines(d *tomlcheck.Document, config *Config, now time.Time, previous *Config) {
	for i := range config.Services {
		for j, version := range config.Services[i].Versions {
			if version.Deadline.IsZero() || version.Deadline.After(now) {
				continue
			}
			if old := previous.version(config.Services[i].Name, version.Name); old != nil && old.Deadline.Equal(version.Deadline) {
				continue
			}
			d.Add(fmt.Sprintf("service[%d].version[%d].deadline", i, j),
				"%s has passed (now %s); write a later time", version.Deadline.Format(time.RFC3339), now.UTC().Format(time.RFC3339))
		}
	}
}

func (c *Config) version(service, version string) *Version {
	if c == nil {
		return nil
	}
	s := c.Service(service)
	if s == nil {
		return nil
	}
	return s.Version(version)
}

// Version returns the version with the given name, or nil.
func (s *Service) Version(name string) *Version {
	for i := range s.Versions {
		if s.Versions[i].Name == name {
			return &s.Versions[i]
		}
	}
	return nil
}
