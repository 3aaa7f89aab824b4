// Package scramverifier derives the SCRAM-SHA-256 verifiers of passwords that
// declarations contain, and decodes them for logins. A verifier doesn't contain
// the password.
package scramverifier

import (
	"encoding/base64"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/pkg/errors"
	"github.com/xdg-go/scram"
)

const (
	// MinIterations is the lowest accepted iteration count, the minimum of RFC 7677.
	MinIterations = 4096
	// DefaultIterations is the iteration count of new verifiers.
	DefaultIterations = 4096
	// SaltBytes is the length of a new salt.
	SaltBytes = 16
	// KeyBytes is the length of the stored key and of the server key.
	KeyBytes = 32
)

// New returns a user whose verifier accepts password.
func New(name, password string, salt []byte, iterations int) (config.User, error) {
	client, err := scram.SHA256.NewClient(name, password, "")
	if err != nil {
		return config.User{}, errors.Wrap(err, "prepare user and password")
	}
	factors := scram.KeyFactors{Salt: string(salt), Iters: iterations}
	stored, err := client.GetStoredCredentialsWithError(factors)
	if err != nil {
		return config.User{}, errors.Wrap(err, "derive keys")
	}
	u := config.User{
		Name:       name,
		Salt:       base64.StdEncoding.EncodeToString(salt),
		Iterations: iterations,
		StoredKey:  base64.StdEncoding.EncodeToString(stored.StoredKey),
		ServerKey:  base64.StdEncoding.EncodeToString(stored.ServerKey),
	}
	return u, nil
}

// Credentials returns the verifier of u in the form that the SCRAM library uses.
func Credentials(u config.User) (scram.StoredCredentials, error) {
	salt, err := base64.StdEncoding.DecodeString(u.Salt)
	if err != nil {
		return scram.StoredCredentials{}, errors.Wrap(err, "salt")
	}
	storedKey, err := decodeKey(u.StoredKey)
	if err != nil {
		return scram.StoredCredentials{}, errors.Wrap(err, "storedKey")
	}
	serverKey, err := decodeKey(u.ServerKey)
	if err != nil {
		return scram.StoredCredentials{}, errors.Wrap(err, "serverKey")
	}
	c := scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(salt), Iters: u.Iterations},
		StoredKey:  storedKey,
		ServerKey:  serverKey,
	}
	return c, nil
}

func decodeKey(text string) ([]byte, error) {
	b, err := base64.StdEncoding.DecodeString(text)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(b) != KeyBytes {
		return nil, errors.Errorf("want %d bytes, have %d", KeyBytes, len(b))
	}
	return b, nil
}
