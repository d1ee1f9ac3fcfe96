package configcheck

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
)

// change is a difference with its effect on callers; smaller ranks come first.
type change struct {
	rank    int
	finding Finding
}

// Ranks of differences: what refuses callers, what moves their requests, what treats them otherwise, the rest.
const (
	rankRefused = iota
	rankMoved
	rankTreated
	rankLimits
	rankAims
	rankTargets
	rankAdded
)

// comparison collects the differences of a configuration from the version in force.
type comparison struct {
	old, new *Configuration
	changes  []change
}

// Compare returns the differences of a configuration from the version in force, in the order of what changes for
// callers. Places are those of the new text. Elements are compared by name.
func Compare(old, new *Configuration) []Finding {
	c := &comparison{old: old, new: new}
	c.routes()
	c.services()
	c.accounts()
	c.limits()
	c.members()
	c.other()
	slices.SortStableFunc(c.changes, func(a, b change) int { return cmp.Compare(a.rank, b.rank) })
	findings := make([]Finding, 0, len(c.changes))
	for _, change := range c.changes {
		findings = append(findings, change.finding)
	}
	return findings
}

func (c *comparison) add(rank int, code Code, key string, field Field, format string, args ...any) {
	c.changes = append(c.changes, change{rank, New(code, c.new.Format.At(key, field), format, args...)})
}

// pairs calls f with each name's element of both lists, in the order of the new one; nil stands for none. Removed
// elements come first.
func pairs[T any](old, new []T, name func(*T) string, f func(old, new *T)) {
	before := make(map[string]*T, len(old))
	for i := range old {
		before[name(&old[i])] = &old[i]
	}
	after := make(map[string]bool, len(new))
	for i := range new {
		after[name(&new[i])] = true
	}
	for i := range old {
		if !after[name(&old[i])] {
			f(&old[i], nil)
		}
	}
	for i := range new {
		f(before[name(&new[i])], &new[i])
	}
}

// values lists differences of values as "name old -> new".
type values []string

func (v *values) compare(name string, old, new any) {
	if before, after := fmt.Sprint(old), fmt.Sprint(new); before != after {
		*v = append(*v, fmt.Sprintf("%s %s -> %s", name, orNone(before), orNone(after)))
	}
}

func orNone(text string) string {
	if text == "" || text == "[]" {
		return "none"
	}
	return text
}

func (v values) String() string { return strings.Join(v, ", ") }

func (r *Route) selects() string {
	path := r.Prefix
	if !r.Exact {
		path += "*"
	}
	return strings.TrimSpace(r.Method + " " + r.Scope + path)
}

func (c *comparison) routes() {
	before, after := newPrefixes(c.old.Routes), newPrefixes(c.new.Routes)
	pairs(c.old.Routes, c.new.Routes, func(r *Route) string { return r.Name }, func(old, new *Route) {
		switch {
		case new == nil:
			c.add(rankRefused, RouteRemoved, "", Routes, "route %q is removed: requests for %s %s", old.Name, old.selects(), after.destination(old))
		case old == nil:
			rank, taken := rankAdded, "were refused before"
			if other := before.longest(new); other != nil {
				rank, taken = rankMoved, fmt.Sprintf("went to route %q (%s) before", other.Name, weightsText(other))
			}
			c.add(rank, RouteAdded, new.Key, Whole, "route %q is added: requests for %s %s and go to %s", new.Name, new.selects(), taken, weightsText(new))
		default:
			c.route(old, new, after)
		}
	})
}

func (c *comparison) route(old, new *Route, after prefixes) {
	if old.selects() != new.selects() {
		c.add(rankRefused, RouteMoved, new.Key, Prefix, "route %q serves %s in place of %s; requests for the latter %s", new.Name, new.selects(), old.selects(), after.destination(old))
	}
	if moved, text := movedWeights(fractions(old), fractions(new)); text != "" {
		c.add(rankMoved, WeightsMoved, new.Key, Shares, "%.1f%% of the requests of route %q move to other services: %s", 100*moved, new.Name, text)
	}
	var treated, aims values
	treated.compare("kind", old.Kind, new.Kind)
	treated.compare("anonymous", old.Anonymous, new.Anonymous)
	treated.compare("resumable", old.Resumable, new.Resumable)
	if c.new.PerRoute {
		treated.compare("timeout", old.Timeout, new.Timeout)
	}
	treated.compare("attempts", old.Attempts, new.Attempts)
	if len(treated) > 0 {
		c.add(rankTreated, RouteTreatment, new.Key, Whole, "route %q treats requests otherwise: %s", new.Name, treated)
	}
	aims.compare("objective", old.Objective, new.Objective)
	aims.compare("longest gap", old.EventGap, new.EventGap)
	aims.compare("priority", old.Priority, new.Priority)
	if len(aims) > 0 {
		c.add(rankAims, RouteAims, new.Key, Whole, "route %q has other aims: %s", new.Name, aims)
	}
}

// fractions returns the part of a route's requests that each service gets.
func fractions(r *Route) map[string]float64 {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	parts := make(map[string]float64)
	for _, s := range r.Shares {
		if s.Weight > 0 {
			parts[s.Service] += float64(s.Weight) / float64(total)
		}
	}
	return parts
}

// leastMoved is the smallest part of requests that counts as moved; less is rounding.
const leastMoved = 1e-9

// movedWeights returns the part of the requests that goes elsewhere than before, with the parts that differ. The
// text is empty if none does.
func movedWeights(old, new map[string]float64) (moved float64, text string) {
	names := make(map[string]bool)
	for name := range old {
		names[name] = true
	}
	for name := range new {
		names[name] = true
	}
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if change := math.Abs(new[name] - old[name]); change > leastMoved {
			moved += change
			parts = append(parts, fmt.Sprintf("%s %.1f%% -> %.1f%%", name, 100*old[name], 100*new[name]))
		}
	}
	// What one service loses another one gets, unless all weights were or become 0.
	if len(old) > 0 && len(new) > 0 {
		moved /= 2
	}
	return moved, strings.Join(parts, ", ")
}

func weightsText(r *Route) string {
	parts := fractions(r)
	names := slices.Sorted(maps.Keys(parts))
	switch len(names) {
	case 0:
		return "no service"
	case 1:
		return "service " + names[0]
	}
	var texts []string
	for _, name := range names {
		texts = append(texts, fmt.Sprintf("%s %.1f%%", name, 100*parts[name]))
	}
	return strings.Join(texts, ", ")
}

// prefixes finds the route that serves the requests of another one. Lists are sorted by prefix; parents are the
// indices of the longest routes whose prefix begins that of a route, or -1.
type prefixes map[string]*prefixList

type prefixList struct {
	routes  []*Route
	parents []int
}

func group(r *Route) string { return r.Method + " " + strings.ToLower(r.Scope) }

func newPrefixes(routes []Route) prefixes {
	p := make(prefixes)
	for i := range routes {
		list := p[group(&routes[i])]
		if list == nil {
			list = &prefixList{}
			p[group(&routes[i])] = list
		}
		list.routes = append(list.routes, &routes[i])
	}
	for _, list := range p {
		slices.SortStableFunc(list.routes, comparePrefix)
		for i := range list.routes {
			list.parents = append(list.parents, list.enclosing(list.routes[i], i-1))
		}
	}
	return p
}

// comparePrefix orders an exact path after the prefix of the same text, since it is served first.
func comparePrefix(a, b *Route) int {
	exact := func(r *Route) int {
		if r.Exact {
			return 1
		}
		return 0
	}
	return cmp.Or(strings.Compare(a.Prefix, b.Prefix), cmp.Compare(exact(a), exact(b)))
}

// enclosing returns the index of the route that serves all requests of r, among those up to index i, or -1.
func (l *prefixList) enclosing(r *Route, i int) int {
	for i >= 0 {
		if o := l.routes[i]; strings.HasPrefix(r.Prefix, o.Prefix) && (!o.Exact || r.Exact && o.Prefix == r.Prefix) {
			return i
		}
		i = l.parents[i]
	}
	return -1
}

// longest returns the route that serves the requests of r except those of longer routes, or nil.
func (p prefixes) longest(r *Route) *Route {
	list := p[group(r)]
	if list == nil {
		return nil
	}
	at, _ := slices.BinarySearchFunc(list.routes, r, func(o, r *Route) int {
		if comparePrefix(o, r) <= 0 {
			return -1
		}
		return 1
	})
	i := list.enclosing(r, at-1)
	if i < 0 {
		return nil
	}
	// Of equal routes the first one serves; the others have it as their parent.
	for list.parents[i] >= 0 && comparePrefix(list.routes[list.parents[i]], list.routes[i]) == 0 {
		i = list.parents[i]
	}
	return list.routes[i]
}

func (p prefixes) destination(r *Route) string {
	if other := p.longest(r); other != nil {
		return fmt.Sprintf("go to route %q (%s)", other.Name, weightsText(other))
	}
	return "are refused"
}

func (c *comparison) services() {
	pairs(c.old.Services, c.new.Services, func(s *Service) string { return s.Name }, func(old, new *Service) {
		switch {
		case new == nil:
			c.add(rankRefused, ServiceRemoved, "", Services, "service %q is removed", old.Name)
		case old == nil:
			c.add(rankAdded, ServiceAdded, new.Key, Name, "service %q is added", new.Name)
		default:
			c.service(old, new)
		}
	})
}

func (c *comparison) service(old, new *Service) {
	var v values
	v.compare("timeout", old.Timeout, new.Timeout)
	v.compare("model engine", old.Engine, new.Engine)
	v.compare("models", old.Models, new.Models)
	v.compare("slots", old.Slots, new.Slots)
	v.compare("memory in tokens", old.MemoryTokens, new.MemoryTokens)
	v.compare("connections", old.Connections, new.Connections)
	v.compare("health path", old.HealthPath, new.HealthPath)
	v.compare("target class", old.Class, new.Class)
	v.compare("dependencies", old.DependsOn, new.DependsOn)
	if len(v) > 0 {
		c.add(rankTargets, ServiceChanged, new.Key, Whole, "service %q changes: %s", new.Name, v)
	}
	if moved, text := movedWeights(versionShares(old), versionShares(new)); text != "" {
		c.add(rankMoved, VersionsMoved, new.Key, Whole, "%.1f%% of the requests of service %q move to other versions: %s", 100*moved, new.Name, text)
	}
	pairs(old.Versions, new.Versions, func(v *Version) string { return v.Name }, func(o, n *Version) {
		switch {
		case n == nil:
			c.add(rankTargets, VersionChanged, new.Key, Whole, "version %q of service %q is removed", o.Name, new.Name)
		case o == nil:
			c.add(rankTargets, VersionChanged, n.Key, Whole, "version %q of service %q is added%s", n.Name, new.Name, rolloutText(n))
		default:
			var v values
			v.compare("deadline", timeText(o), timeText(n))
			v.compare("previous version kept", o.KeepPrevious, n.KeepPrevious)
			v.compare("settings", o.Other, n.Other)
			if len(v) > 0 {
				c.add(rankTargets, VersionChanged, n.Key, Whole, "version %q of service %q changes: %s", n.Name, new.Name, v)
			}
		}
	})
}

func timeText(v *Version) string {
	if v.Deadline.IsZero() {
		return ""
	}
	return v.Deadline.UTC().Format("2006-01-02T15:04:05Z")
}

func rolloutText(v *Version) string {
	if v.Deadline.IsZero() {
		return ""
	}
	return ": its rollout takes all requests of the service by " + timeText(v) + " or is rolled back"
}

func versionShares(s *Service) map[string]float64 {
	shares := make(map[string]float64)
	for _, v := range s.Versions {
		if v.Share > 0 {
			shares[v.Name] += v.Share / 100
		}
	}
	return shares
}

func (c *comparison) accounts() {
	pairs(c.old.Accounts, c.new.Accounts, func(a *Account) string { return a.Name }, func(old, new *Account) {
		switch {
		case new == nil:
			c.add(rankRefused, AccountRemoved, "", Accounts, "account %q is removed: requests with its keys (%d) are refused where a key is required", old.Name, len(old.Keys))
			return
		case old == nil:
			c.add(rankAdded, AccountAdded, new.Key, Name, "account %q is added", new.Name)
			return
		}
		// Keys are secrets and are not printed.
		if gone, come := missing(old.Keys, new.Keys), missing(new.Keys, old.Keys); gone+come > 0 {
			rank := rankAdded
			if gone > 0 {
				rank = rankRefused
			}
			c.add(rank, AccountKeys, new.Key, Keys, "account %q loses %d keys, whose requests are refused, and gets %d", new.Name, gone, come)
		}
		var v values
		v.compare("services", old.Services, new.Services)
		v.compare("priority", old.Priority, new.Priority)
		v.compare("member", old.Member, new.Member)
		if len(v) > 0 {
			c.add(rankTreated, AccountChanged, new.Key, Whole, "account %q changes: %s", new.Name, v)
		}
	})
}

// missing counts the elements of a that b lacks.
func missing(a, b []string) int {
	has := make(map[string]bool, len(b))
	for _, s := range b {
		has[s] = true
	}
	n := 0
	for _, s := range a {
		if !has[s] {
			n++
		}
	}
	return n
}

func (c *comparison) limits() {
	old, new := c.old.Limits, c.new.Limits
	compare := func(field Field, name string, before, after any) {
		var v values
		if v.compare(name, before, after); len(v) > 0 {
			c.add(rankLimits, LimitChanged, new.Key, field, "limit changes: %s", v)
		}
	}
	compare(BodyBytes, "body bytes", old.BodyBytes, new.BodyBytes)
	compare(HeaderBytes, "header bytes", old.HeaderBytes, new.HeaderBytes)
	compare(HeaderTimeout, "header timeout", old.HeaderTimeout, new.HeaderTimeout)
	compare(IdleTimeout, "idle timeout", old.IdleTimeout, new.IdleTimeout)
}

func (c *comparison) members() {
	pairs(c.old.Members, c.new.Members, func(m *Member) string { return m.Name }, func(old, new *Member) {
		switch {
		case new == nil:
			c.add(rankTreated, MemberChanged, "", Members, "member %q with %v%% of the pool is removed", old.Name, old.Share)
		case old == nil:
			c.add(rankTreated, MemberChanged, new.Key, Name, "member %q is added with %v%% of the pool", new.Name, new.Share)
		case old.Share != new.Share:
			c.add(rankTreated, MemberChanged, new.Key, Weight, "the share of member %q in the pool changes from %v%% to %v%%", new.Name, old.Share, new.Share)
		}
	})
}

func (c *comparison) other() {
	names := make(map[string]bool)
	for name := range c.old.Other {
		names[name] = true
	}
	for name := range c.new.Other {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if old, new := c.old.Other[name], c.new.Other[name]; old != new {
			c.add(rankTargets, OtherChanged, "", Whole, "%s changes: %s -> %s", name, orNone(old), orNone(new))
		}
	}
}
