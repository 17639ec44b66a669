package presenter

import "limpetrail/editor"

// section gives the console access to one of the document's lists.
type section struct {
	Title string
	// find returns a pointer to a copy of the item of that name, or to an empty item if
	// there is none.
	find func(document *editor.Document, name string) (item any, found bool)
	// replace replaces the item of that name or adds it if there is none. A nil item removes
	// it.
	replace func(document *editor.Document, name string, item any)
	// list returns a summary of each item.
	list func(document *editor.Document) []itemSummary
}

// itemSummary is an item's name and a short description.
type itemSummary struct {
	Name  string
	Notes string
}

// sections are in the order in which the console shows them.
var sections = []section{
	newSection("Firms", func(document *editor.Document) *[]editor.Firm { return &document.Firms }, func(firm editor.Firm) itemSummary {
		return itemSummary{firm.Name, joinNonEmpty("share", firm.Share, "staff", firm.Staff)}
	}),
	newSection("Workspaces", func(document *editor.Document) *[]editor.Workspace { return &document.Workspaces }, func(workspace editor.Workspace) itemSummary {
		return itemSummary{workspace.Name, joinNonEmpty("firm", workspace.Firm)}
	}),
	newSection("Models", func(document *editor.Document) *[]editor.Model { return &document.Models }, func(model editor.Model) itemSummary {
		return itemSummary{model.Name, joinNonEmpty("versions", len(model.Versions), "adapters", len(model.Adapters))}
	}),
	newSection("Services", func(document *editor.Document) *[]editor.Service { return &document.Services }, func(service editor.Service) itemSummary {
		return itemSummary{service.Name, joinNonEmpty("kind", service.Kind, "firm", service.Firm, "model", service.Model, "replicas", service.Replicas)}
	}),
	newSection("Policies", func(document *editor.Document) *[]editor.Policy { return &document.Policies }, func(policy editor.Policy) itemSummary {
		return itemSummary{policy.Name, joinNonEmpty("reserve", policy.Reserve)}
	}),
}

func newSection[T any](title string, items func(*editor.Document) *[]T, summarize func(T) itemSummary) section {
	return section{
		Title: title,
		find: func(document *editor.Document, name string) (any, bool) {
			for _, item := range *items(document) {
				if summarize(item).Name == name {
					return &item, true
				}
			}

			return new(T), false
		},
		replace: func(document *editor.Document, name string, item any) {
			updated := []T{}
			replacement, _ := item.(*T)

			for _, existing := range *items(document) {
				switch {
				case summarize(existing).Name != name:
					updated = append(updated, existing)
				case replacement != nil:
					updated = append(updated, *replacement)
					replacement = nil
				}
			}

			if replacement != nil {
				updated = append(updated, *replacement)
			}

			*items(document) = updated
		},
		list: func(document *editor.Document) []itemSummary {
			summaries := []itemSummary{}
			for _, item := range *items(document) {
				summaries = append(summaries, summarize(item))
			}

			return summaries
		},
	}
}
