package proxy

import (
	"github.com/cranberrystage/cranberrystage/internal/platform/adapters"
	"github.com/cranberrystage/cranberrystage/internal/settings"
)

// ConnectPlatform returns clients for the platform in the settings. They connect
// on first use.
func ConnectPlatform(s settings.Proxy) (Platform, error) {
	a, err := adapters.Open(s.Platform, s.Objects)
	if err != nil {
		return Platform{}, err
	}
	return Platform{Tables: a.Tables, Objects: a.Objects, VMs: a.Tables}, nil
}
