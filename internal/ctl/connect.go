package ctl

import (
	"context"
	"net/http"

	"github.com/cranberrystage/cranberrystage/internal/plan"
	"github.com/cranberrystage/cranberrystage/internal/platform/adapters"
	"github.com/cranberrystage/cranberrystage/internal/settings"
	"github.com/cranberrystage/cranberrystage/internal/statusapi"
)

// ConnectPlatform opens the store on the platform that the settings name.
func ConnectPlatform(s settings.Control) (plan.Store, error) {
	a, err := adapters.Open(s.Platform, s.Objects)
	if err != nil {
		return plan.Store{}, err
	}
	return plan.Store{Tables: a.Tables, Objects: a.Objects}, nil
}

// FetchStatus reads the status of the proxy at an admin address over HTTP.
func FetchStatus(ctx context.Context, address string) (statusapi.Status, error) {
	return statusapi.Fetch(ctx, http.DefaultClient, address)
}
