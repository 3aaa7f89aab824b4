package peertls

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"testing"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/peer"
	"github.com/cranberrystage/cranberrystage/internal/peer/tcpbus"
	"github.com/cranberrystage/cranberrystage/internal/testrun"
	"gotest.tools/v3/assert"
)

// authority is a certificate authority for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	return key
}

func newAuthority(t *testing.T) authority {
	a := authority{key: newKey(t)}
	a.cert = a.create(t, &x509.Certificate{IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}, nil, &a.key.PublicKey)
	return a
}

func (a authority) create(t *testing.T, c, parent *x509.Certificate, public *ecdsa.PublicKey) *x509.Certificate {
	c.SerialNumber = big.NewInt(1)
	c.Subject = pkix.Name{CommonName: "test"}
	c.NotBefore = time.Now().Add(-time.Hour)
	c.NotAfter = time.Now().Add(time.Hour)
	if parent == nil {
		parent = c
	}
	der, err := x509.CreateCertificate(rand.Reader, c, parent, public, a.key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return cert
}

// config returns the configuration of a proxy whose certificate is signed by a
// and which accepts certificates signed by trusted.
func (a authority) config(t *testing.T, trusted authority) *tls.Config {
	key := newKey(t)
	cert := a.create(t, &x509.Certificate{}, a.cert, &key.PublicKey)
	pool := x509.NewCertPool()
	pool.AddCert(trusted.cert)
	return New(tls.Certificate{Certificate: [][]byte{cert.Raw}, PrivateKey: key}, pool)
}

func startBus(t *testing.T, cfg *tls.Config, handle func(any)) *tcpbus.Bus {
	b, err := tcpbus.New("127.0.0.1:0", tcpbus.Options{TLS: cfg, MinBackoff: time.Millisecond, MaxBackoff: 5 * time.Millisecond})
	assert.NilError(t, err)
	testrun.Go(t, func(ctx context.Context) error { return b.Run(ctx, handle) })
	t.Cleanup(func() { _ = b.Close() })
	return b
}

func TestProxiesWithCommonAuthorityConnect(t *testing.T) {
	a := newAuthority(t)
	got := make(chan any, 1)
	receiver := startBus(t, a.config(t, a), func(m any) { got <- m })
	sender := startBus(t, a.config(t, a), func(any) {})
	want := peer.GroupState{Group: "g", Term: 3, Primary: "g-a"}
	sender.Send(receiver.Addr(), peer.TopicGroup, want)
	assert.Equal(t, <-got, any(want))
}

func TestUntrustedPeersAreRefused(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	receiver := startBus(t, ours.config(t, ours), func(m any) { t.Errorf("received %v", m) })
	cases := []struct {
		name string
		cfg  *tls.Config
	}{
		{"signed by another authority", theirs.config(t, ours)},
		{"no certificate", &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			conn, err := tls.Dial("tcp", receiver.Addr(), c.cfg)
			if err == nil {
				// In TLS 1.3 the client sees the rejection only at its first read.
				_, err = conn.Read(make([]byte, 1))
				_ = conn.Close()
			}
			assert.Assert(t, err != nil)
		})
	}
	_, err := tls.Dial("tcp", receiver.Addr(), ours.config(t, theirs))
	assert.ErrorContains(t, err, "peer certificate")
}
