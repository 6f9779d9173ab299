package main

import "text/template"

// demoText is the template of the text that the demo prints when its hosts are ready.
var demoText = template.Must(template.New("demo").Parse(`
hickorypath is ready. Callers: {{.Caller}}  Operators: {{.Admin}}

  export KEY={{.Key}}

A plain answer:
  curl -s {{.Caller}}/v1/chat/completions -H "Authorization: Bearer $KEY" -d '{"model":"asesor","messages":[{"role":"user","content":"Why do dues differ in May?"}]}'

A streamed answer:
  curl -sN {{.Caller}}/v1/chat/completions -H "Authorization: Bearer $KEY" -d '{"model":"asesor","stream":true,"messages":[{"role":"user","content":"Draft the annual accounts."}]}'

A call that runs at most once, however often it is sent:
  curl -s {{.Caller}}/dues -H "Authorization: Bearer $KEY" -H "Idempotency-Key: may-ana" -d '{"member":"Ana","euro":12}'

An open route, without a key:
  curl -s {{.Caller}}/help

Refusals: no key, another customer's route, an unknown model:
  curl -s {{.Caller}}/v1/chat/completions -d '{"model":"asesor","messages":[{"role":"user","content":"hello"}]}'
  curl -s {{.Caller}}/v1/chat/completions -H "Authorization: Bearer {{.Other}}" -d '{"model":"libro","messages":[{"role":"user","content":"hello"}]}'
  curl -s {{.Caller}}/v1/chat/completions -H "Authorization: Bearer $KEY" -d '{"model":"none","messages":[{"role":"user","content":"hello"}]}'

Operators:
  export HICKORYPATH_ADMIN={{.Admin}} HICKORYPATH_TOKEN={{.Token}}
  curl -s $HICKORYPATH_ADMIN/v1/status -H "Authorization: Bearer $HICKORYPATH_TOKEN"
  go run ./cmd/hickorypath status
  go run ./cmd/hickorypath key issue --customer santona
  go run ./cmd/hickorypath key list     # and: key withdraw ID, which ends the running calls of the key

In a browser, with any name and the password {{.Token}}:
  {{.Admin}}/burn   service-level burn
  {{.Admin}}/docs   the operators' API

Ctrl-C ends the demo.
`))

// print writes example commands that contain the demo's addresses and a valid key of each customer.
func (d *demo) print(keys map[string]string) {
	_ = demoText.Execute(d.out, map[string]string{
		"Caller": d.callerURL(0),
		"Admin":  d.adminURL(0),
		"Key":    keys[demoCustomer],
		"Other":  keys[demoOtherCustomer],
		"Token":  demoToken,
	})
}
