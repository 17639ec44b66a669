package editor

import (
	"reflect"
	"slices"

	"limpetrail/classifier"
)

// authorize returns a fault for each change that the operator may not make. The
// current document grants the rights: its Operators may change everything, a
// firm's staff the firm's workspaces, services, adapters and staff list. A
// document without Operators, such as the empty one, may be changed by anyone.
func authorize(operator string, current, proposed *Document) []classifier.Fault {
	if len(current.Operators) == 0 || slices.Contains(current.Operators, operator) {
		return nil
	}

	authorizer := &changeAuthorizer{operator: operator, isStaff: map[string]bool{}}
	for _, firm := range current.Firms {
		authorizer.isStaff[firm.Name] = slices.Contains(firm.Staff, operator)
	}

	if !reflect.DeepEqual(current.Operators, proposed.Operators) {
		authorizer.addFault("Operators")
	}

	compareItems("Firms", current.Firms, proposed.Firms, func(firm Firm) string { return firm.Name }, authorizer.checkFirm)
	compareItems("Workspaces", current.Workspaces, proposed.Workspaces, func(workspace Workspace) string { return workspace.Name }, func(field string, before, after Workspace) {
		authorizer.checkOwned(field, before.Name, before.Firm, after.Name, after.Firm)
	})
	compareItems("Services", current.Services, proposed.Services, func(service Service) string { return service.Name }, func(field string, before, after Service) {
		authorizer.checkOwned(field, before.Name, before.Firm, after.Name, after.Firm)
	})
	compareItems("Models", current.Models, proposed.Models, func(model Model) string { return model.Name }, authorizer.checkModel)
	compareItems("Policies", current.Policies, proposed.Policies, func(policy Policy) string { return policy.Name }, func(field string, _, _ Policy) {
		authorizer.addFault(field)
	})

	return authorizer.faults
}

// changeAuthorizer collects the changes that one operator may not make.
type changeAuthorizer struct {
	operator string
	// isStaff holds for each firm whether the operator is on its staff.
	isStaff map[string]bool
	faults  []classifier.Fault
}

func (authorizer *changeAuthorizer) addFault(field string) {
	authorizer.faults = append(authorizer.faults, classifier.Fault{
		Field:  field,
		Value:  authorizer.operator,
		Remedy: "ask the shared operators or the staff of the firm it belongs to",
	})
}

func (authorizer *changeAuthorizer) checkFirm(field string, before, after Firm) {
	if before.Name == "" || after.Name == "" || before.Share != after.Share || !authorizer.isStaff[before.Name] {
		authorizer.addFault(field)
	}
}

// checkOwned refuses a change of an item that belongs to another firm before or
// after the change.
func (authorizer *changeAuthorizer) checkOwned(field, nameBefore, firmBefore, nameAfter, firmAfter string) {
	allowed := (nameBefore == "" || authorizer.isStaff[firmBefore]) && (nameAfter == "" || authorizer.isStaff[firmAfter])
	if !allowed {
		authorizer.addFault(field)
	}
}

func (authorizer *changeAuthorizer) checkModel(field string, before, after Model) {
	if before.Name == "" || after.Name == "" || !reflect.DeepEqual(before.Versions, after.Versions) {
		authorizer.addFault(field)

		return
	}

	compareItems(field+".Adapters", before.Adapters, after.Adapters, func(adapter Adapter) string { return adapter.Name }, func(field string, before, after Adapter) {
		authorizer.checkOwned(field, before.Name, before.Firm, after.Name, after.Firm)
	})
}

// compareItems calls onDifference for each item that was added, removed or
// changed; the absent side is the zero value.
func compareItems[T any](field string, before, after []T, name func(T) string, onDifference func(field string, before, after T)) {
	beforeByName, afterByName := map[string]T{}, map[string]T{}
	for _, item := range before {
		beforeByName[name(item)] = item
	}

	for _, item := range after {
		afterByName[name(item)] = item
		if !reflect.DeepEqual(beforeByName[name(item)], item) {
			onDifference(field+"["+name(item)+"]", beforeByName[name(item)], item)
		}
	}

	for _, item := range before {
		if _, found := afterByName[name(item)]; !found {
			var absent T
			onDifference(field+"["+name(item)+"]", item, absent)
		}
	}
}
