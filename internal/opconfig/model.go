package opconfig

import (
	"fmt"
	"strings"
	"time"

	"bramleygap/internal/core/catalog"
	"bramleygap/internal/core/configcheck"
	"bramleygap/internal/tomlcheck"
)

// modelKeys are the keys of the operator configuration for the fields of the model.
var modelKeys = map[configcheck.Field]string{
	configcheck.Routes: "route", configcheck.Services: "service", configcheck.Accounts: "account", configcheck.Members: "member",
	configcheck.Name: "name", configcheck.Prefix: "path", configcheck.Kind: "kind", configcheck.Timeout: "timeout",
	configcheck.Keys: "key_sha256", configcheck.Deadline: "deadline", configcheck.KeepPrevious: "keep_previous", configcheck.Weight: "share",
}

// Model parses a text as Parse does and translates it for the check of configurations.
func Model(text string) (configcheck.Configuration, error) {
	config, d := parse(text)
	if err := d.Err(); err != nil {
		return configcheck.Configuration{}, err
	}
	model := configcheck.Configuration{Format: configcheck.Format{Keys: modelKeys, Line: d.Line}, Other: make(map[string]string)}
	for i, m := range config.Members {
		model.Members = append(model.Members, configcheck.Member{Key: fmt.Sprintf("member[%d]", i), Name: m.Name, Share: m.Share})
	}
	for i, a := range config.Accounts {
		model.Accounts = append(model.Accounts, configcheck.Account{
			Key: fmt.Sprintf("account[%d]", i), Name: a.Name, Member: a.Member, Keys: []string{a.KeySHA256}, Services: a.Services,
		})
	}
	for i, class := range config.TargetClasses {
		model.Classes = append(model.Classes, configcheck.Named{Key: fmt.Sprintf("target_class[%d]", i), Name: class.Name})
		model.Other["target_class "+class.Name] = fmt.Sprintf("checks_sender=%t honours_fencing=%t", class.ChecksSender, class.HonoursFencing)
	}
	if len(config.RetireVMs) > 0 {
		model.Other["retire_vms"] = strings.Join(config.RetireVMs, ", ")
	}
	for i := range config.Services {
		addService(&model, fmt.Sprintf("service[%d]", i), &config.Services[i])
	}
	return model, nil
}

func addService(model *configcheck.Configuration, key string, s *Service) {
	service := configcheck.Service{
		Key: key, Name: s.Name, Direct: true, Timeout: s.Timeout.Duration, Class: s.TargetClass, DependsOn: s.DependsOn, Engine: s.Kind == KindModel,
	}
	if s.Model != "" {
		service.Models = []string{s.Model}
	}
	for i, v := range s.Versions {
		service.Versions = append(service.Versions, configcheck.Version{
			Key: fmt.Sprintf("%s.version[%d]", key, i), Name: v.Name, Share: v.Share, Deadline: v.Deadline, KeepPrevious: v.KeepPrevious.Duration,
			Other: fmt.Sprintf("adapter %q, on_too_little_traffic %q", v.Adapter, v.OnTooLittleTraffic),
		})
	}
	model.Services = append(model.Services, service)
	for i, r := range s.Routes {
		element := fmt.Sprintf("%s.route[%d]", key, i)
		route := configcheck.Route{
			Key: element, Name: s.Name + " " + r.Method + " " + r.Path, Scope: s.Name, Method: r.Method,
			Prefix: strings.TrimSuffix(r.Path, "*"), Exact: !strings.HasSuffix(r.Path, "*"), Timeout: s.Timeout.Duration,
			Shares: []configcheck.Share{{Key: element, Service: s.Name, Weight: 1}},
		}
		if r.Once {
			route.Kind = catalog.Once
		}
		model.Routes = append(model.Routes, route)
	}
}

// modelCodes are the codes of the check for the classes of problems.
var modelCodes = map[tomlcheck.Class]configcheck.Code{
	tomlcheck.Rule: configcheck.NotAllowed, tomlcheck.Syntax: configcheck.NotValidText, tomlcheck.TooLong: configcheck.TooLarge,
	tomlcheck.UnknownKey: configcheck.UnknownKey, tomlcheck.WrongType: configcheck.WrongType,
}

// Findings translates the problems of a TOML text; problems of the whole text are at its first line.
func Findings(problems tomlcheck.Problems) []configcheck.Finding {
	findings := make([]configcheck.Finding, 0, len(problems))
	for _, p := range problems {
		findings = append(findings, configcheck.New(modelCodes[p.Class], configcheck.Place{Line: max(1, p.Line), Key: p.Key}, "%s", p.Text))
	}
	return findings
}

// CheckDeadlines returns an error for each deadline of a version that has passed, as ParseSubmitted does; previous
// is the text in force.
func CheckDeadlines(text, previous string, now time.Time) error {
	old, err := Parse(previous)
	if err != nil {
		return err
	}
	_, err = ParseSubmitted(text, now, old)
	return err
}
