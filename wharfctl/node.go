package main

import (
	"context"
	"net/http"
	"time"

	"github.com/go-resty/resty/v2"
	"github.com/samber/oops"

	"ragwortwharf.dev/wharf/wharfcli"
)

// nodeAccess is what commands need to ask a node.
type nodeAccess struct {
	Node    string        `default:"http://127.0.0.1:7002" env:"WHARF_NODE_ADMIN" help:"Admin URL of a node."`
	Timeout time.Duration `default:"5s" env:"WHARF_TIMEOUT" help:"Longest wait for the node."`
}

// get asks the node and decodes its answer.
func (a nodeAccess) get(ctx context.Context, path string, params map[string]string, into any) error {
	var faults wharfcli.Issues
	faults.URL("node", a.Node)
	if len(faults) > 0 {
		return wharfcli.ExitError{Code: wharfcli.ExitUsage, Err: faults}
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
