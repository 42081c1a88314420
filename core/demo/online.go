package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/sourcegraph/conc/pool"

	"tarragonwalk/core/fault"
	"tarragonwalk/core/membership"
	"tarragonwalk/examples"
	"tarragonwalk/io/apiclient"
	"tarragonwalk/io/openai"
	"tarragonwalk/io/standin/engine"
)

func (d *Demo) listAddresses(context.Context) (string, error) {
	answer, err := d.fleet.Caller("entry-1", garthDduKey).Get("/v1/addresses")
	if err != nil {
		return "", err
	}
	list := membership.AddressList{}
	if err := apiclient.Decode(answer, &list); err != nil {
		return "", err
	}
	if len(list.Addresses) != len(d.fleet.Instances) || list.Addresses[0].Zone != "taff-a" {
		return "", failure("got %d addresses, the first in %s", len(list.Addresses), list.Addresses[0].Zone)
	}

	return fmt.Sprintf("%d addresses, own availability zone first", len(list.Addresses)), nil
}

func (d *Demo) streamOnline(context.Context) (string, error) {
	requests := []json.RawMessage{}
	if err := readExample("online.json", &requests); err != nil {
		return "", err
	}
	instances := []string{"entry-1", "entry-2", "entry-3"}
	p := pool.New().WithErrors()
	for n, body := range requests {
		p.Go(func() error {
			return d.streamOne(instances[n%len(instances)], fmt.Sprintf("demo-online-%d", n), body)
		})
	}
	if err := p.Wait(); err != nil {
		return "", err
	}

	return fmt.Sprintf("%d complete answers, each to its own request", len(requests)), nil
}

// streamOne streams one request and compares the answer with the one that the engine stand-in computes from it.
func (d *Demo) streamOne(instance, id string, body []byte) error {
	request := openai.ChatRequest{}
	if err := apiclient.Decode(body, &request); err != nil {
		return err
	}
	body, err := withStream(body)
	if err != nil {
		return err
	}
	key := garthDduKey
	if request.Model == "waivers" {
		key = kurekizinKey
	}
	text := strings.Builder{}
	finish, err := d.fleet.Caller(instance, key).Stream(body, id, 0, func(_ int, token string) error {
		text.WriteString(token)

		return nil
	})
	if err != nil {
		return err
	}
	want, _, reason := engine.Answer(&request)
	if text.String() != want || finish != reason {
		return failure("answer %q (%s), want %q (%s)", text.String(), finish, want, reason)
	}

	return nil
}

func withStream(body []byte) ([]byte, error) {
	fields := map[string]json.RawMessage{}
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "an example is not JSON")
	}
	fields["stream"] = json.RawMessage("true")
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeInternal, "an example cannot be encoded")
	}

	return body, nil
}

func (d *Demo) orderOnce(context.Context) (string, error) {
	order, err := examples.Files.ReadFile("order.json")
	if err != nil {
		return "", fault.Wrap(err, fault.CodeInternal, "cannot read an embedded example")
	}
	const path = "/v1/services/orders/signatures"
	header := map[string]string{
		"Idempotency-Key": "waiver-k12-aksoy",
	}
	first, err := d.fleet.Caller("entry-1", kurekizinKey).Post(path, order, header)
	if err != nil {
		return "", err
	}
	second, err := d.fleet.Caller("entry-2", kurekizinKey).Post(path, order, header)
	if err != nil {
		return "", err
	}
	calls := 0
	for _, n := range d.fleet.Services["orders-1"].Keys() {
		calls += n
	}
	if calls != 1 || string(first) != string(second) {
		return "", failure("the service ran %d times and answered %q and %q", calls, first, second)
	}

	return "the service ran once, both requests got its answer", nil
}

func readExample(name string, v any) error {
	text, err := examples.Files.ReadFile(name)
	if err != nil {
		return fault.Wrap(err, fault.CodeInternal, "cannot read an embedded example")
	}

	return apiclient.Decode(text, v)
}
