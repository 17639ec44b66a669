package presenter

import "limpetrail/editor"

// section is one of the document's lists, as the console edits it.
type section struct {
	Title string
	// find returns a pointer to a copy of the item, or to a new one.
	find func(document *editor.Document, name string) (item any, found bool)
	// put replaces the item of that name, removes it for a nil item, or adds
	// the item when there is none.
	put func(document *editor.Document, name string, item any)
	// list returns the items' names and a short description of each.
	list func(document *editor.Document) []entry
}

type entry struct {
	Name  string
	Notes string
}

// sections are in the order of the console.
var sections = []section{
	newSection("Firms", func(document *editor.Document) *[]editor.Firm { return &document.Firms }, func(firm editor.Firm) entry {
		return entry{firm.Name, describe("share", firm.Share, "staff", firm.Staff)}
	}),
	newSection("Workspaces", func(document *editor.Document) *[]editor.Workspace { return &document.Workspaces }, func(workspace editor.Workspace) entry {
		return entry{workspace.Name, describe("firm", workspace.Firm)}
	}),
	newSection("Models", func(document *editor.Document) *[]editor.Model { return &document.Models }, func(model editor.Model) entry {
		return entry{model.Name, describe("versions", len(model.Versions), "adapters", len(model.Adapters))}
	}),
	newSection("Services", func(document *editor.Document) *[]editor.Service { return &document.Services }, func(service editor.Service) entry {
		return entry{service.Name, describe("kind", service.Kind, "firm", service.Firm, "model", service.Model, "replicas", service.Replicas)}
	}),
	newSection("Policies", func(document *editor.Document) *[]editor.Policy { return &document.Policies }, func(policy editor.Policy) entry {
		return entry{policy.Name, describe("reserve", policy.Reserve)}
	}),
}

func newSection[T any](title string, items func(*editor.Document) *[]T, note func(T) entry) section {
	return section{
		Title: title,
		find: func(document *editor.Document, name string) (any, bool) {
			for _, item := range *items(document) {
				if note(item).Name == name {
					return &item, true
				}
			}

			return new(T), false
		},
		put: func(document *editor.Document, name string, item any) {
			kept := []T{}
			replacement, _ := item.(*T)

			for _, present := range *items(document) {
				switch {
				case note(present).Name != name:
					kept = append(kept, present)
				case replacement != nil:
					kept = append(kept, *replacement)
					replacement = nil
				}
			}

			if replacement != nil {
				kept = append(kept, *replacement)
			}

			*items(document) = kept
		},
		list: func(document *editor.Document) []entry {
			found := []entry{}
			for _, item := range *items(document) {
				found = append(found, note(item))
			}

			return found
		},
	}
}
