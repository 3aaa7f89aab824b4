// Package operatorkey creates, writes and reads the Ed25519 keys with which
// operators sign approvals of plans. Private keys are stored in PKCS #8 form as a
// PEM block.
package operatorkey

import (
	"crypto/ed25519"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"io"
	"os"

	"github.com/pkg/errors"
)

const (
	pemType  = "PRIVATE KEY"
	fileMode = 0o600
)

// New creates a key from random bytes.
func New(random io.Reader) (ed25519.PrivateKey, error) {
	seed := make([]byte, ed25519.SeedSize)
	if _, err := io.ReadFull(random, seed); err != nil {
		return nil, errors.Wrap(err, "random bytes")
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// Public returns the public key in base64, the form used in declarations.
func Public(key ed25519.PrivateKey) string {
	return base64.StdEncoding.EncodeToString(key.Public().(ed25519.PublicKey))
}

// WriteFile writes key to a new file that only its owner can read.
func WriteFile(path string, key ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return errors.Wrap(err, "key file")
	}
	if err := pem.Encode(f, &pem.Block{Type: pemType, Bytes: der}); err != nil {
		_ = f.Close()
		return errors.Wrap(err, "key file")
	}
	return errors.Wrap(f.Close(), "key file")
}

// ReadFile reads a key written by WriteFile.
func ReadFile(path string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "key file")
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != pemType {
		return nil, errors.Errorf("key file %s: no PEM block %q", path, pemType)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, errors.Wrapf(err, "key file %s", path)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, errors.Errorf("key file %s: not an Ed25519 key", path)
	}
	return key, nil
}
