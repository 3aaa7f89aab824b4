// Package peertls builds the TLS configuration for connections between proxies.
// Both sides present a certificate signed by a certificate authority that is
// used for proxies only. The certificate chain is verified, but not the host name,
// because VMs come and go and their addresses change.
package peertls

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// Files names the PEM files of a proxy.
type Files struct {
	// Certificate is the proxy's certificate.
	Certificate string
	// Key is the certificate's key.
	Key string
	// Authority holds the certificates of the certificate authority.
	Authority string
}

// Load returns a configuration for both sides of a connection.
func Load(f Files) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load the certificate for peer connections")
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, errors.Wrap(err, "read the certificate authority for peer connections")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.Errorf("no certificate in %s", f.Authority)
	}
	return New(cert, pool), nil
}

// New returns a configuration that presents cert and accepts peer certificates
// signed by authority.
func New(cert tls.Certificate, authority *x509.CertPool) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{cert},
		ClientAuth:   tls.RequireAnyClientCert,
		// VerifyConnection verifies the chain instead, without a host name.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verify(s, authority)
		},
	}
}

func verify(s tls.ConnectionState, authority *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("the peer presents no certificate")
	}
	opts := x509.VerifyOptions{
		Roots:         authority,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	}
	for _, c := range s.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(opts)
	return errors.Wrap(err, "peer certificate")
}
