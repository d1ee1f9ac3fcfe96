// Package caller authenticates client accounts and writes error responses to callers over HTTP.
package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/prometheus/client_golang/prometheus"

	"bramleygap/internal/opconfig"
	"bramleygap/internal/result"
)

// Identity is an authenticated client account and its member.
type Identity struct {
	Account opconfig.Account
	Member  opconfig.Member
}

// Authenticate returns the client account of the request's bearer key if it may use the service.
// Errors are *result.Error with NotReady, Unauthenticated, UnknownService or NoShare.
func Authenticate(r *http.Request, config *opconfig.Config, service string) (Identity, error) {
	if config == nil {
		return Identity{}, result.New(result.NotReady, "no operator configuration adopted yet")
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return Identity{}, result.New(result.Unauthenticated, "header Authorization: Bearer KEY is missing")
	}
	sum := sha256.Sum256([]byte(key))
	keySHA256 := hex.EncodeToString(sum[:])
	for _, account := range config.Accounts {
		if account.KeySHA256 == keySHA256 {
			return authorize(account, config, service)
		}
	}
	return Identity{}, result.New(result.Unauthenticated, "no client account has this key")
}

func authorize(account opconfig.Account, config *opconfig.Config, service string) (Identity, error) {
	if config.Service(service) == nil {
		return Identity{}, result.New(result.UnknownService, "service %q does not exist", service)
	}
	if len(account.Services) > 0 && !slices.Contains(account.Services, service) {
		return Identity{}, result.New(result.UnknownService, "account %q may not use service %q", account.Name, service)
	}
	member := config.Member(account.Member)
	if member == nil || member.Share <= 0 {
		return Identity{}, result.New(result.NoShare, "account %q belongs to no member with a share", account.Name)
	}
	return Identity{Account: account, Member: *member}, nil
}

// ErrorBody is the JSON body of an error response.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes one result code.
type ErrorDetail struct {
	Code    uint32 `json:"code"`
	Type    string `json:"type"`
	Class   string `json:"class"`
	Message string `json:"message"`
}

// AsError returns err as a *result.Error. An error without a result code becomes Internal.
func AsError(err error) *result.Error {
	var resultErr *result.Error
	if errors.As(err, &resultErr) {
		return resultErr
	}
	return &result.Error{Code: result.Internal, Message: "internal error", Cause: err}
}

// NewErrorBody returns the JSON body for an error.
func NewErrorBody(err *result.Error) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Code:    uint32(err.Code),
		Type:    err.Code.String(),
		Class:   err.Code.Class().String(),
		Message: err.Message,
	}}
}

// Refusals counts error responses by result code.
type Refusals struct{ total *prometheus.CounterVec }

// NewRefusals registers bramleygap_entry_refusals_total.
func NewRefusals(registerer prometheus.Registerer) *Refusals {
	total := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bramleygap_entry_refusals_total",
		Help: "Error responses to callers by result code.",
	}, []string{"code"})
	registerer.MustRegister(total)
	return &Refusals{total: total}
}

// Count adds one refusal.
func (r *Refusals) Count(code result.Code) { r.total.WithLabelValues(code.String()).Inc() }

// Write counts the error and sends it as the response.
func (r *Refusals) Write(w http.ResponseWriter, err error) {
	resultErr := AsError(err)
	r.Count(resultErr.Code)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(result.Header, strconv.FormatUint(uint64(resultErr.Code), 10))
	w.WriteHeader(resultErr.Code.HTTPStatus())
	_ = json.NewEncoder(w).Encode(NewErrorBody(resultErr))
}
