// Package adapters creates the platform clients from settings: the table service
// over HTTP and the object store over S3.
package adapters

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform/httptables"
	"github.com/cranberrystage/cranberrystage/internal/platform/s3objects"
	"github.com/cranberrystage/cranberrystage/internal/settings"
)

// Adapters are the clients of the platform.
type Adapters struct {
	// Tables is the table service and the VM list.
	Tables *httptables.Client
	// Objects is the object store.
	Objects *s3objects.Client
}

// Open returns the clients, which connect on first use.
func Open(p settings.Platform, o settings.Objects) (Adapters, error) {
	rows, err := httptables.New(httptables.Options{BaseURL: p.URL, Timeout: time.Duration(p.Timeout)})
	if err != nil {
		return Adapters{}, err
	}
	objects, err := s3objects.New(s3objects.Options{
		BaseURL:   o.BaseURL(),
		Bucket:    o.Bucket,
		AccessKey: o.AccessKey,
		SecretKey: o.SecretKey.Reveal(),
		Timeout:   time.Duration(o.Timeout),
	})
	if err != nil {
		return Adapters{}, err
	}
	return Adapters{Tables: rows, Objects: objects}, nil
}
