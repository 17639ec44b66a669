package demonstrator

import (
	"time"

	"limpetrail/editor"
)

const headerTimeout = 10 * time.Second

// ExampleDocument returns the configuration document that the demo starts with:
// two firms, a model service and a plain service whose calls must not be
// repeated.
func ExampleDocument() editor.Document {
	return editor.Document{
		Operators: []string{"ops"},
		Firms: []editor.Firm{
			{Name: "clinics", Staff: []string{"asha"}, Share: 1},
			{Name: "hire", Staff: []string{"eino"}, Share: 1},
		},
		Workspaces: []editor.Workspace{
			{Name: "briefings", Firm: "clinics"},
			{Name: "yard", Firm: "hire"},
		},
		Models: []editor.Model{{
			Name:     "forecast",
			Versions: []editor.Version{{Name: "v1", Weights: "forecast-v1"}},
		}},
		Services: []editor.Service{
			{Name: "briefing", Kind: editor.ServiceKindModel, Model: "forecast", Version: "v1", Replicas: engineCount, Idempotent: true, Policy: "default"},
			{Name: "order", Firm: "hire", Kind: editor.ServiceKindPlain, Replicas: orderServerCount},
		},
		Policies: []editor.Policy{{
			Name:          "default",
			FirstToken:    editor.Duration(1400 * time.Millisecond),
			TokenInterval: editor.Duration(37 * time.Millisecond),
			Reserve:       0.1,
			MaxWait:       editor.Duration(time.Second),
		}},
	}
}
