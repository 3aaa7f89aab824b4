package settings

import (
	"crypto/tls"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/jsonc"
)

// minFrameBytes is the smallest accepted limit for a protocol message, in bytes.
const minFrameBytes = 1 << 10

// checker collects the problems found in one settings file.
type checker struct {
	src      *jsonc.Source
	problems jsonc.Problems
}

func check(src *jsonc.Source, p Proxy) jsonc.Problems {
	c := &checker{src: src}
	c.required("vm", string(p.VM))
	c.required("dataCentre", string(p.DataCentre))
	c.address("peerAddress", p.PeerAddress)
	c.address("adminAddress", p.AdminAddress)
	c.addresses("seedPeers", p.SeedPeers)
	c.peerTLS(p.PeerTLS)
	c.callers(p.Callers)
	c.platform(p.Platform)
	c.objects(p.Objects)
	c.credentials("upstreams.control", p.Upstreams.Control)
	c.credentials("upstreams.pool", p.Upstreams.Pool)
	c.timeouts(p.Timeouts)
	c.positive("shutdownGrace", p.ShutdownGrace)
	c.problems.Sort()
	return c.problems
}

func (c *checker) add(field, format string, args ...any) {
	c.problems = append(c.problems, c.src.Problem(field, fmt.Sprintf(format, args...)))
}

func (c *checker) required(field, value string) {
	if value == "" {
		c.add(field, "is required")
	}
}

func (c *checker) address(field, value string) {
	if value == "" {
		c.add(field, "is required")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.add(field, "want IP:port, have %q", value)
	}
}

func (c *checker) atLeast(field string, value, least int) {
	if value < least {
		c.add(field, "must be at least %d", least)
	}
}

func (c *checker) positive(field string, d config.Duration) {
	if time.Duration(d) <= 0 {
		c.add(field, "must be longer than 0")
	}
}

func (c *checker) addresses(field string, values []string) {
	for i, v := range values {
		c.address(fmt.Sprintf("%s[%d]", field, i), v)
	}
}

func (c *checker) peerTLS(s PeerTLS) {
	set := 0
	for _, f := range []string{s.CertificateFile, s.KeyFile, s.AuthorityFile} {
		if f != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		c.add("peerTLS", "certificateFile, keyFile and authorityFile go together")
	}
}

func (c *checker) callers(s Callers) {
	if len(s.Addresses) == 0 {
		c.add("callers.addresses", "is required")
	}
	c.addresses("callers.addresses", s.Addresses)
	if (s.CertificateFile == "") != (s.KeyFile == "") {
		c.add("callers.certificateFile", "certificateFile and keyFile go together")
	} else if s.CertificateFile != "" {
		c.certificate(s)
	}
	c.atLeast("callers.maxCallers", s.MaxCallers, 1)
	c.atLeast("callers.maxFrameBytes", s.MaxFrameBytes, minFrameBytes)
}

// certificate reports a certificate or key file that can't be read or used.
func (c *checker) certificate(s Callers) {
	unreadable := false
	for _, f := range []struct{ field, path string }{
		{"callers.certificateFile", s.CertificateFile},
		{"callers.keyFile", s.KeyFile},
	} {
		if _, err := os.ReadFile(f.path); err != nil {
			c.add(f.field, "%v", err)
			unreadable = true
		}
	}
	if unreadable {
		return
	}
	if _, err := tls.LoadX509KeyPair(s.CertificateFile, s.KeyFile); err != nil {
		c.add("callers.certificateFile", "not a certificate with its key: %v", err)
	}
}

func (c *checker) platform(s Platform) {
	u, err := url.Parse(s.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.add("platform.url", "want an http or https URL, have %q", s.URL)
	}
	c.positive("platform.timeout", s.Timeout)
}

func (c *checker) objects(s Objects) {
	c.address("objects.endpoint", s.Endpoint)
	c.required("objects.bucket", s.Bucket)
	c.required("objects.accessKey", s.AccessKey)
	c.required("objects.secretKey", s.SecretKey.Reveal())
	c.positive("objects.timeout", s.Timeout)
}

func (c *checker) credentials(field string, s Credentials) {
	c.required(field+".user", s.User)
}

func (c *checker) timeouts(s Timeouts) {
	c.positive("timeouts.probe", s.Probe)
	c.positive("timeouts.handshake", s.Handshake)
	c.positive("timeouts.idleInTransaction", s.IdleInTransaction)
}
