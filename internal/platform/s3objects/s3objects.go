// Package s3objects is the platform's object store over the S3 protocol.
package s3objects

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform"
	"github.com/minio/minio-go/v7"
	"github.com/minio/minio-go/v7/pkg/credentials"
	"github.com/pkg/errors"
)

const (
	// DefaultTimeout bounds one call where Options name none.
	DefaultTimeout = 5 * time.Second
	// defaultRegion is used where Options name none, so that it is never asked for.
	defaultRegion = "us-east-1"
	// objectLimit is the largest object, in bytes.
	objectLimit = 16 << 20
	// attempts is how often the library sends one request.
	attempts = 1
)

// Options configure a Client.
type Options struct {
	// BaseURL is the store's address, such as "http://10.0.0.5:8080".
	BaseURL string
	// Bucket holds the objects and must exist.
	Bucket string
	// Region is the bucket's region; empty means "us-east-1".
	Region string
	// AccessKey and SecretKey sign the requests.
	AccessKey, SecretKey string
	// Timeout bounds each call; 0 means DefaultTimeout.
	Timeout time.Duration
	// Transport carries the requests; nil means the library's default.
	Transport http.RoundTripper
}

// Client implements platform.Objects. It is safe for concurrent use.
type Client struct {
	s3      *minio.Client
	bucket  string
	timeout time.Duration
}

var _ platform.Objects = (*Client)(nil)

// New returns a client; it connects when first used.
func New(opts Options) (*Client, error) {
	u, err := url.Parse(opts.BaseURL)
	if err != nil {
		return nil, errors.Wrap(err, "object store address")
	}
	if opts.Region == "" {
		opts.Region = defaultRegion
	}
	if opts.Timeout == 0 {
		opts.Timeout = DefaultTimeout
	}
	s3, err := minio.New(u.Host, &minio.Options{
		Creds:        credentials.NewStaticV4(opts.AccessKey, opts.SecretKey, ""),
		Secure:       u.Scheme == "https",
		Transport:    opts.Transport,
		Region:       opts.Region,
		BucketLookup: minio.BucketLookupPath,
		MaxRetries:   attempts,
	})
	if err != nil {
		return nil, errors.Wrap(err, "object store")
	}
	return &Client{s3: s3, bucket: opts.Bucket, timeout: opts.Timeout}, nil
}

// Put implements platform.Objects. An object that exists is left as it is, so
// repeating a Put after ErrUnknown is safe.
func (c *Client) Put(ctx context.Context, key string, body []byte) error {
	if len(body) > objectLimit {
		return errors.Errorf("object %q exceeds %d bytes", key, objectLimit)
	}
	if ctx.Err() != nil {
		return errors.Wrapf(platform.ErrUnavailable, "put %q: %v", key, ctx.Err())
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	opts := minio.PutObjectOptions{DisableMultipart: true}
	opts.SetMatchETagExcept("*")
	_, err := c.s3.PutObject(ctx, c.bucket, key, bytes.NewReader(body), int64(len(body)), opts)
	return putError(key, err)
}

// Get implements platform.Objects.
func (c *Client) Get(ctx context.Context, key string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	object, err := c.s3.GetObject(ctx, c.bucket, key, minio.GetObjectOptions{})
	if err != nil {
		return nil, getError(key, err)
	}
	defer func() { _ = object.Close() }()
	body, err := io.ReadAll(io.LimitReader(object, objectLimit+1))
	if err != nil {
		return nil, getError(key, err)
	}
	if len(body) > objectLimit {
		return nil, errors.Errorf("object %q exceeds %d bytes", key, objectLimit)
	}
	return body, nil
}

func putError(key string, err error) error {
	if err == nil {
		return nil
	}
	switch minio.ToErrorResponse(err).StatusCode {
	case http.StatusPreconditionFailed:
		return nil
	case http.StatusServiceUnavailable:
		return errors.Wrapf(platform.ErrUnavailable, "put %q: %v", key, err)
	default:
		return errors.Wrapf(platform.ErrUnknown, "put %q: %v", key, err)
	}
}

func getError(key string, err error) error {
	if minio.ToErrorResponse(err).StatusCode == http.StatusNotFound {
		return errors.Wrapf(platform.ErrNotFound, "object %q", key)
	}
	return errors.Wrapf(platform.ErrUnavailable, "get %q: %v", key, err)
}
