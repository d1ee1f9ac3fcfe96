package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleygap/internal/opconfig"
	"bramleygap/internal/result"
)

// Guards against requests with an unknown key, or of an account without a share, that are
// served or refused with another code.
func TestAuthenticate(t *testing.T) {
	hashKey := func(key string) string {
		sum := sha256.Sum256([]byte(key))
		return hex.EncodeToString(sum[:])
	}
	config := &opconfig.Config{
		Members: []opconfig.Member{{Name: "office", Share: 100}, {Name: "guest"}},
		Accounts: []opconfig.Account{
			{Name: "clerk", Member: "office", KeySHA256: hashKey("clerk"), Services: []string{"letters"}},
			{Name: "visitor", Member: "guest", KeySHA256: hashKey("visitor")},
			{Name: "stray", Member: "gone", KeySHA256: hashKey("stray")},
		},
		Services: []opconfig.Service{{Name: "letters"}, {Name: "counter"}},
	}
	for _, test := range []struct {
		header, service string
		config          *opconfig.Config
		want            result.Code
	}{
		{"Bearer clerk", "letters", config, result.OK},
		{"Bearer clerk", "counter", config, result.UnknownService},
		{"Bearer clerk", "poems", config, result.UnknownService},
		{"Bearer visitor", "letters", config, result.NoShare},
		{"Bearer stray", "letters", config, result.NoShare},
		{"Bearer nobody", "letters", config, result.Unauthenticated},
		{"", "letters", config, result.Unauthenticated},
		{"Bearer clerk", "letters", nil, result.NotReady},
	} {
		request := httptest.NewRequest("POST", "/", nil)
		request.Header.Set("Authorization", test.header)
		_, err := Authenticate(request, test.config, test.service)
		got := result.OK
		if err != nil {
			got = AsError(err).Code
		}
		qt.Check(t, got, qt.Equals, test.want, qt.Commentf("%q on %s", test.header, test.service))
	}
}
