package gateway

import (
	"slices"
	"strings"
	"time"

	"bramleygap/internal/wire"
)

// maxRetryServices bounds the services of one message for which tokens are asked or given.
const maxRetryServices = 32

// wantedRetryTokens returns the tokens that streams of this gateway wait for.
func (st *state) wantedRetryTokens(now time.Time) []*wire.RetryTokens {
	var wanted []*wire.RetryTokens
	for service, budget := range st.budgets {
		budget.Refill(now)
		if n := budget.Wanted(now); n > 0 {
			wanted = append(wanted, &wire.RetryTokens{Service: service, Tokens: uint32(n)})
		}
	}
	slices.SortFunc(wanted, func(a, b *wire.RetryTokens) int { return strings.Compare(a.Service, b.Service) })
	return wanted[:min(len(wanted), maxRetryServices)]
}

// giveRetryTokens takes the tokens that a request asks for out of the budgets of this gateway, as far as it has them to
// spare, and returns them. If the answer is lost, so are they.
func (p *peers) giveRetryTokens(st *state, now time.Time, request *wire.GatewayState) []*wire.RetryTokens {
	if !st.settings.Bounds.ShareRetries {
		return nil
	}
	var given []*wire.RetryTokens
	for _, wanted := range request.RetryTokens[:min(len(request.RetryTokens), maxRetryServices)] {
		budget := st.budgets[wanted.Service]
		if budget == nil {
			// A gateway without requests of the service has no budget yet. It does not create one for others: names in
			// messages could be any number.
			continue
		}
		budget.Refill(now)
		if n := budget.Give(now, int(wanted.Tokens)); n > 0 {
			given = append(given, &wire.RetryTokens{Service: wanted.Service, Tokens: uint32(n)})
			p.g.metrics.retryTransfers.WithLabelValues("given").Add(float64(n))
			p.g.log.Info().Str("peer", request.Name).Str("service", wanted.Service).Int("tokens", n).Float64("left", budget.Tokens()).
				Msg("retry tokens given to another gateway")
		}
	}
	return given
}

// receiveRetryTokens adds the tokens of an answer to the budgets. An answer that gives more than was asked for is of a
// faulty gateway and gives nothing.
func (p *peers) receiveRetryTokens(st *state, now time.Time, request, answer *wire.GatewayState) {
	for _, given := range answer.RetryTokens {
		i := slices.IndexFunc(request.RetryTokens, func(wanted *wire.RetryTokens) bool { return wanted.Service == given.Service })
		if i < 0 || given.Tokens > request.RetryTokens[i].Tokens {
			p.g.loop.ignoreInvalid(st, now, answer.Name, "retry_tokens", 1)
			continue
		}
		if budget := st.budgets[given.Service]; budget != nil {
			budget.Receive(int(given.Tokens))
			p.g.metrics.retryTransfers.WithLabelValues("received").Add(float64(given.Tokens))
		}
	}
}
