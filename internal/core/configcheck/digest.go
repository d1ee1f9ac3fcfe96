package configcheck

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// KeyDigest returns the hexadecimal SHA-256 of a client key, as the operator configuration states it.
func KeyDigest(key string) string {
	digest := sha256.Sum256([]byte(key))
	return hex.EncodeToString(digest[:])
}

// WithKeyDigests returns a copy of a configuration that has the digests of the accounts' keys in place of the keys.
func WithKeyDigests(config *Configuration) *Configuration {
	digested := *config
	digested.Accounts = slices.Clone(config.Accounts)
	for i := range digested.Accounts {
		account := &digested.Accounts[i]
		account.Keys = slices.Clone(account.Keys)
		for j, key := range account.Keys {
			account.Keys[j] = KeyDigest(key)
		}
	}
	return &digested
}
