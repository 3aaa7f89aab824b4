// Package s3objects is a client of the platform's object store over S3.
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
	// DefaultTimeout bounds one call if Options set no timeout.
	DefaultTimeout = 5 * time.Second
	// defaultRegion is used if Options set no region, so that the library does not
	// query the bucket's region.
	defaultRegion = "us-east-1"
	// maxObjectBytes is the size of the largest object, in bytes.
	maxObjectBytes = 16 << 20
	// maxAttempts is the number of times the library sends a request; 1 disables
	// its retries.
	maxAttempts = 1
)

// Options configure a Client.
type Options struct {
	// BaseURL is the store's address, such as "http://10.0.0.5:8080".
	BaseURL string
	// Bucket holds the objects and must exist.
	Bucket string
	// Region is the bucket's region; empty means "us-east-1".
	Region string
	// AccessKey and SecretKey are the credentials that sign requests.
	AccessKey, SecretKey string
	// Timeout bounds each call; 0 means DefaultTimeout.
	Timeout time.Duration
	// Transport sends the requests; nil means the library's default.
	Transport http.RoundTripper
}

// Client implements platform.Objects. It is safe for concurrent use.
type Client struct {
	s3      *minio.Client
	bucket  string
	timeout time.Duration
}

var _ platform.Objects = (*Client)(nil)

// New returns a client, which connects on first use.
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
		MaxRetries:   maxAttempts,
	})
	if err != nil {
		return nil, errors.Wrap(err, "object store")
	}
	return &Client{s3: s3, bucket: opts.Bucket, timeout: opts.Timeout}, nil
}

// Put implements platform.Objects. It does not overwrite an existing object, so
// repeating a Put after ErrUnknown is safe.
func (c *Client) Put(ctx context.Context, key string, body []byte) error {
	if len(body) > maxObjectBytes {
		return errors.Errorf("object %q exceeds %d bytes", key, maxObjectBytes)
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
	body, err := io.ReadAll(io.LimitReader(object, maxObjectBytes+1))
	if err != nil {
		return nil, getError(key, err)
	}
	if len(body) > maxObjectBytes {
		return nil, errors.Errorf("object %q exceeds %d bytes", key, maxObjectBytes)
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
