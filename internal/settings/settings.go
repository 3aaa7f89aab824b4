// Package settings defines the settings of a process: where it runs, where it
// listens, how it reaches the platform, and its limits. It reads the settings files
// of Proxy and Control, which are JSON with comments; docs/SETTINGS.md describes every
// field.
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
	DefaultPlatformTimeout   = 5 * time.Second
	DefaultStatusTimeout     = 2 * time.Second
	DefaultProbeTimeout      = time.Second
	DefaultHandshakeTimeout  = 5 * time.Second
	DefaultIdleInTransaction = 10 * time.Second
	DefaultShutdownGrace     = 30 * time.Second
	DefaultBucket            = "cranberrystage"
)

// Secret is text that must not appear in logs.
type Secret string

// String returns a placeholder.
func (Secret) String() string { return "(hidden)" }

// LogValue returns a placeholder.
func (Secret) LogValue() slog.Value { return slog.StringValue("(hidden)") }

// Reveal returns the secret text.
func (s Secret) Reveal() string { return string(s) }

// Proxy holds the settings of one proxy process.
type Proxy struct {
	// VM is the name of the entry VM.
	VM tables.VMID `json:"vm"`
	// DataCentre is the data centre of the VM.
	DataCentre tables.DataCentreID `json:"dataCentre"`
	// Callers configures the listeners for callers.
	Callers Callers `json:"callers"`
	// PeerAddress is the IP:port for frames between proxies.
	PeerAddress string `json:"peerAddress"`
	// PeerTLS enables TLS between proxies; empty means plain TCP.
	PeerTLS PeerTLS `json:"peerTLS"`
	// AdminAddress is the IP:port that serves metrics, health and status over HTTP.
	AdminAddress string `json:"adminAddress"`
	// SeedPeers are peer addresses to try while the platform's VM list is unavailable.
	SeedPeers []string `json:"seedPeers"`
	// Platform is the table service with the VM list.
	Platform Platform `json:"platform"`
	// Objects is the object store.
	Objects Objects `json:"objects"`
	// Upstreams holds the credentials for upstreams.
	Upstreams Upstreams `json:"upstreams"`
	// Timeouts holds the timeouts for probes and callers.
	Timeouts Timeouts `json:"timeouts"`
	// LogLevel is "debug", "info", "warn" or "error".
	LogLevel Level `json:"logLevel"`
	// ShutdownGrace is how long requests in flight may take after a shutdown was
	// requested.
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

// Level is a log level that is decoded from its name.
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

// Callers configures the listeners for callers.
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

// Platform configures access to the platform's table service.
type Platform struct {
	// URL is the base URL of the table service.
	URL string `json:"url"`
	// Timeout bounds one request.
	Timeout config.Duration `json:"timeout"`
}

// Objects configures access to the platform's object store over S3.
type Objects struct {
	// Endpoint is the IP:port of the store.
	Endpoint string `json:"endpoint"`
	// Bucket is the bucket that holds this project's objects.
	Bucket string `json:"bucket"`
	// AccessKey is the S3 access key.
	AccessKey string `json:"accessKey"`
	// SecretKey is the S3 secret key.
	SecretKey Secret `json:"secretKey"`
	// TLS selects HTTPS instead of HTTP.
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

// Credentials holds a user and a password.
type Credentials struct {
	// User is the user name.
	User string `json:"user"`
	// Password is the password of User.
	Password Secret `json:"password"`
}

// Upstreams holds the credentials for upstreams.
type Upstreams struct {
	// Control is used for status, fencing and promotion.
	Control Credentials `json:"control"`
	// Pool is used for the connections that run callers' statements.
	Pool Credentials `json:"pool"`
}

// Timeouts holds the timeouts for probes and callers.
type Timeouts struct {
	// Probe bounds one status probe.
	Probe config.Duration `json:"probe"`
	// Handshake bounds a caller's start-up and login.
	Handshake config.Duration `json:"handshake"`
	// IdleInTransaction is how long a caller may be idle in a transaction before its
	// connection is closed.
	IdleInTransaction config.Duration `json:"idleInTransaction"`
}

// Defaults returns the default settings.
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
// with all problems found.
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
