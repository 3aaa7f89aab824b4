package proxy

import (
	"time"

	"github.com/cranberrystage/cranberrystage/internal/platform/httptables"
	"github.com/cranberrystage/cranberrystage/internal/platform/s3objects"
	"github.com/cranberrystage/cranberrystage/internal/settings"
)

// ConnectPlatform returns the adapters that the settings name. It connects to nothing yet.
func ConnectPlatform(s settings.Proxy) (Platform, error) {
	rows, err := httptables.New(httptables.Options{
		BaseURL: s.Platform.URL,
		Timeout: time.Duration(s.Platform.Timeout),
	})
	if err != nil {
		return Platform{}, err
	}
	scheme := "http://"
	if s.Objects.TLS {
		scheme = "https://"
	}
	objects, err := s3objects.New(s3objects.Options{
		BaseURL:   scheme + s.Objects.Endpoint,
		Bucket:    s.Objects.Bucket,
		AccessKey: s.Objects.AccessKey,
		SecretKey: s.Objects.SecretKey.Reveal(),
		Timeout:   time.Duration(s.Objects.Timeout),
	})
	if err != nil {
		return Platform{}, err
	}
	return Platform{Tables: rows, Objects: objects, VMs: rows}, nil
}
