package gateway

import (
	"bramleygap/internal/core/configcheck"
	"bramleygap/internal/settings"
)

// ConfigurationLimits returns what the check of a configuration needs of a gateway's settings.
func ConfigurationLimits(s settings.Gateway) configcheck.Gateway {
	return configcheck.Gateway{
		Name: s.Name, RetryRatio: s.Bounds.RetryRatio, RetrySlack: s.Bounds.RetrySlack, Grace: s.Grace.Duration,
		BodyMemory: limitsFor(s.MemoryLimitMB).bodies, HeaderBytes: maxClientHeaderBytes,
	}
}
