// Package settings is what one proxy process learns at its start: where it
// runs, where it listens, how it reaches the platform, and its limits. The
// file is JSON with comments; docs/SETTINGS.md describes every field.
package settings

import (
	"log/slog"
	"strings"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/config"
	"github.com/cranberrystage/cranberrystage/internal/jsonc"
	"github.com/cranberrystage/cranberrystage/internal/tables"
	"github.com/pkg/errors"
)

// Default values of optional fields.
const (
	DefaultMaxCallers        = 10_000
	DefaultMaxFrameBytes     = 16 << 20
	DefaultPlatformTimeout   = 2 * time.Second
	DefaultProbeTimeout      = time.Second
	DefaultHandshakeTimeout  = 5 * time.Second
	DefaultIdleInTransaction = 10 * time.Second
	DefaultShutdownGrace     = 30 * time.Second
	DefaultBucket            = "cranberrystage"
)

// Secret is text that must not reach logs.
type Secret string

// String hides the text.
func (Secret) String() string { return "(hidden)" }

// LogValue hides the text from structured logs.
func (Secret) LogValue() slog.Value { return slog.StringValue("(hidden)") }

// Reveal returns the text.
func (s Secret) Reveal() string { return string(s) }

// Proxy is the settings of one proxy process.
type Proxy struct {
	// VM names the entry VM.
	VM tables.VMID `json:"vm"`
	// DataCentre is where the VM runs.
	DataCentre tables.DataCentreID `json:"dataCentre"`
	// Callers is the side that callers connect to.
	Callers Callers `json:"callers"`
	// PeerAddress is the IP:port for frames between proxies.
	PeerAddress string `json:"peerAddress"`
	// PeerTLS protects the frames between proxies; empty means plain TCP.
	PeerTLS PeerTLS `json:"peerTLS"`
	// AdminAddress is the IP:port of metrics, health and status over HTTP.
	AdminAddress string `json:"adminAddress"`
	// SeedPeers are peer addresses to try while the platform's VM list is not at hand.
	SeedPeers []string `json:"seedPeers"`
	// Platform is the table service with the VM list.
	Platform Platform `json:"platform"`
	// Objects is the object store.
	Objects Objects `json:"objects"`
	// Upstreams is how the proxy logs in to upstreams.
	Upstreams Upstreams `json:"upstreams"`
	// Timeouts bound how long the proxy waits.
	Timeouts Timeouts `json:"timeouts"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel Level `json:"logLevel"`
	// ShutdownGrace is how long requests in flight may take after a shutdown was asked for.
	ShutdownGrace config.Duration `json:"shutdownGrace"`
}

// PeerTLS names the PEM files for connections between proxies.
type PeerTLS struct {
	// CertificateFile is this proxy's certificate.
	CertificateFile string `json:"certificateFile"`
	// KeyFile is the certificate's key.
	KeyFile string `json:"keyFile"`
	// AuthorityFile holds the certificates of the authority that signs proxies' certificates.
	AuthorityFile string `json:"authorityFile"`
}

// On reports whether connections between proxies use TLS.
func (p PeerTLS) On() bool { return p.CertificateFile != "" }

// Level is a log level by its name.
type Level slog.Level

// Level implements slog.Leveler.
func (l Level) Level() slog.Level { return slog.Level(l) }

// UnmarshalText implements encoding.TextUnmarshaler.
func (l *Level) UnmarshalText(text []byte) error {
	for _, level := range []slog.Level{slog.LevelDebug, slog.LevelInfo, slog.LevelWarn, slog.LevelError} {
		if strings.EqualFold(level.String(), string(text)) {
			*l = Level(level)
			return nil
		}
	}
	return errors.Errorf("want debug, info, warn or error, have %q", text)
}

// Callers is the side that callers connect to.
type Callers struct {
	// Addresses are the IP:port pairs to listen on.
	Addresses []string `json:"addresses"`
	// CertificateFile is a PEM file; empty means that TLS is not offered.
	CertificateFile string `json:"certificateFile"`
	// KeyFile is the PEM file of the certificate's key.
	KeyFile string `json:"keyFile"`
	// MaxCallers bounds the caller connections of this process.
	MaxCallers int `json:"maxCallers"`
	// MaxFrameBytes bounds one protocol message from a caller or upstream.
	MaxFrameBytes int `json:"maxFrameBytes"`
}

// Platform is the platform's table service.
type Platform struct {
	// URL is the base URL of the table service.
	URL string `json:"url"`
	// Timeout bounds one request.
	Timeout config.Duration `json:"timeout"`
}

// Objects is the platform's object store, which speaks S3.
type Objects struct {
	// Endpoint is the IP:port of the store.
	Endpoint string `json:"endpoint"`
	// Bucket holds the project's objects.
	Bucket string `json:"bucket"`
	// AccessKey is the S3 access key.
	AccessKey string `json:"accessKey"`
	// SecretKey is the S3 secret key.
	SecretKey Secret `json:"secretKey"`
	// TLS asks for HTTPS.
	TLS bool `json:"tls"`
	// Timeout bounds one request.
	Timeout config.Duration `json:"timeout"`
}

// BaseURL returns the store's URL.
func (o Objects) BaseURL() string {
	if o.TLS {
		return "https://" + o.Endpoint
	}
	return "http://" + o.Endpoint
}

// Credentials are a user and a password.
type Credentials struct {
	// User is the user name.
	User string `json:"user"`
	// Password belongs to User.
	Password Secret `json:"password"`
}

// Upstreams is how the proxy logs in to upstreams.
type Upstreams struct {
	// Control is for status, fencing and promotion.
	Control Credentials `json:"control"`
	// Pool is for the connections that carry callers' statements.
	Pool Credentials `json:"pool"`
}

// Timeouts bound how long the proxy waits.
type Timeouts struct {
	// Probe bounds one status probe.
	Probe config.Duration `json:"probe"`
	// Handshake bounds a caller's start-up and login.
	Handshake config.Duration `json:"handshake"`
	// IdleInTransaction ends a caller whose open transaction waits for its next request for this long.
	IdleInTransaction config.Duration `json:"idleInTransaction"`
}

// Defaults returns the settings before a file is read.
func Defaults() Proxy {
	return Proxy{
		Callers:       Callers{MaxCallers: DefaultMaxCallers, MaxFrameBytes: DefaultMaxFrameBytes},
		Platform:      Platform{Timeout: config.Duration(DefaultPlatformTimeout)},
		Objects:       Objects{Bucket: DefaultBucket, Timeout: config.Duration(DefaultPlatformTimeout)},
		ShutdownGrace: config.Duration(DefaultShutdownGrace),
		Timeouts: Timeouts{
			Probe:             config.Duration(DefaultProbeTimeout),
			Handshake:         config.Duration(DefaultHandshakeTimeout),
			IdleInTransaction: config.Duration(DefaultIdleInTransaction),
		},
	}
}

// Load reads and checks the settings file at path. The error is jsonc.Problems
// with everything that is wrong.
func Load(path string) (Proxy, error) {
	p := Defaults()
	src, problems := jsonc.ReadFile(path, &p)
	if src.Parsed() {
		problems = problems.And(check(src, p))
	}
	if err := problems.Err(); err != nil {
		return Proxy{}, err
	}
	return p, nil
}
