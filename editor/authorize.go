package editor

import (
	"reflect"
	"slices"

	"limpetrail/classifier"
)

// authorize lists the parts that the operator may not change. The present
// document says who may change what: its Operators everything, a firm's staff
// the firm's workspaces, services, adapters and staff list. An empty document
// belongs to whoever writes it first.
func authorize(operator string, present, wanted *Document) []classifier.Fault {
	if len(present.Operators) == 0 || slices.Contains(present.Operators, operator) {
		return nil
	}

	check := &authorization{operator: operator, firms: map[string]bool{}}
	for _, firm := range present.Firms {
		check.firms[firm.Name] = slices.Contains(firm.Staff, operator)
	}

	if !reflect.DeepEqual(present.Operators, wanted.Operators) {
		check.refuse("Operators")
	}

	compareItems("Firms", present.Firms, wanted.Firms, func(firm Firm) string { return firm.Name }, check.firm)
	compareItems("Workspaces", present.Workspaces, wanted.Workspaces, func(workspace Workspace) string { return workspace.Name }, func(field string, before, after Workspace) {
		check.owned(field, before.Name, before.Firm, after.Name, after.Firm)
	})
	compareItems("Services", present.Services, wanted.Services, func(service Service) string { return service.Name }, func(field string, before, after Service) {
		check.owned(field, before.Name, before.Firm, after.Name, after.Firm)
	})
	compareItems("Models", present.Models, wanted.Models, func(model Model) string { return model.Name }, check.model)
	compareItems("Policies", present.Policies, wanted.Policies, func(policy Policy) string { return policy.Name }, func(field string, _, _ Policy) {
		check.refuse(field)
	})

	return check.faults
}

// authorization collects what one operator may not change.
type authorization struct {
	operator string
	// firms tells of each firm whether the operator is of its staff.
	firms  map[string]bool
	faults []classifier.Fault
}

func (check *authorization) refuse(field string) {
	check.faults = append(check.faults, classifier.Fault{
		Field:  field,
		Value:  check.operator,
		Remedy: "ask the shared operators or the staff of the firm it belongs to",
	})
}

func (check *authorization) firm(field string, before, after Firm) {
	if before.Name == "" || after.Name == "" || before.Share != after.Share || !check.firms[before.Name] {
		check.refuse(field)
	}
}

// owned refuses a change of an item that is, or becomes, another firm's.
func (check *authorization) owned(field, nameBefore, firmBefore, nameAfter, firmAfter string) {
	mine := (nameBefore == "" || check.firms[firmBefore]) && (nameAfter == "" || check.firms[firmAfter])
	if !mine {
		check.refuse(field)
	}
}

func (check *authorization) model(field string, before, after Model) {
	if before.Name == "" || after.Name == "" || !reflect.DeepEqual(before.Versions, after.Versions) {
		check.refuse(field)

		return
	}

	compareItems(field+".Adapters", before.Adapters, after.Adapters, func(adapter Adapter) string { return adapter.Name }, func(field string, before, after Adapter) {
		check.owned(field, before.Name, before.Firm, after.Name, after.Firm)
	})
}

// compareItems calls differ for each item that was added, removed or changed;
// the absent side is the zero value.
func compareItems[T any](field string, before, after []T, name func(T) string, differ func(field string, before, after T)) {
	old, present := map[string]T{}, map[string]T{}
	for _, item := range before {
		old[name(item)] = item
	}

	for _, item := range after {
		present[name(item)] = item
		if !reflect.DeepEqual(old[name(item)], item) {
			differ(field+"["+name(item)+"]", old[name(item)], item)
		}
	}

	for _, item := range before {
		if _, kept := present[name(item)]; !kept {
			var none T
			differ(field+"["+name(item)+"]", item, none)
		}
	}
}
