package main

import (
	"context"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/samber/oops"

	"ragwortwharf.dev/wharf/wharfcli"
)

// nodeAccess holds the flags of commands that query the admin API of a node.
type nodeAccess struct {
	Node    string        `default:"http://127.0.0.1:7002" env:"WHARF_NODE_ADMIN" help:"Admin URL of a node."`
	Timeout time.Duration `default:"5s" env:"WHARF_TIMEOUT" help:"Time to wait for the node."`
}

// get sends a GET request to the node and decodes the JSON response into the
// value that into points to.
func (a nodeAccess) get(ctx context.Context, path string, params map[string]string, into any) error {
	var issues wharfcli.Issues
	issues.CheckURL("node", a.Node)
	if len(issues) > 0 {
		return wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: issues}
	}
	response, err := resty.New().SetTimeout(a.Timeout).R().
		SetContext(ctx).SetQueryParams(params).SetResult(into).Get(a.Node + path)
	if err != nil {
		return oops.Code("node-unreachable").Wrap(err)
	}
	if response.StatusCode() != http.StatusOK {
		return oops.Code("node-refused").Errorf("node answered %s: %s", response.Status(), response.String())
	}
	return nil
}
