package editor

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"limpetrail/classifier"
)

const (
	maxReplicas       = 100_000
	maxShare          = 1_000_000
	maxPolicyDuration = 10 * time.Minute
	nameRemedy        = "use 1 to 64 letters, digits and the signs . _ - /, and begin with a letter or digit"
	personRemedy      = "use 1 to 64 letters, digits and the signs . _ - @ +, and begin with a letter or digit"
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,63}$`)
	personPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._@+-]{0,63}$`)
)

// Validate returns all faults of the document, including those of references
// between its parts.
func Validate(document *Document) []classifier.Fault {
	validator := &validator{document: document}
	validator.indexNames()
	validator.checkOperators()
	validator.checkFirms()
	validator.checkWorkspaces()
	validator.checkModels()
	validator.checkServices()
	validator.checkPolicies()
	validator.checkSize()

	return validator.faults
}

// validator collects the faults of one document.
type validator struct {
	document *Document
	faults   []classifier.Fault
	// notEncodable is set when a number cannot be encoded in JSON (NaN or
	// infinite). The size is not checked then.
	notEncodable bool

	firms    map[string]bool
	policies map[string]bool
	models   map[string]Model
}

func (validator *validator) indexNames() {
	validator.firms = map[string]bool{}
	validator.policies = map[string]bool{}
	validator.models = map[string]Model{}

	for _, firm := range validator.document.Firms {
		validator.firms[firm.Name] = true
	}

	for _, policy := range validator.document.Policies {
		validator.policies[policy.Name] = true
	}

	for _, model := range validator.document.Models {
		validator.models[model.Name] = model
	}
}

func (validator *validator) addFault(field string, value any, remedy string) {
	validator.faults = append(validator.faults, classifier.Fault{Field: field, Value: truncate(fmt.Sprint(value)), Remedy: remedy})
}

func (validator *validator) checkOperators() {
	if len(validator.document.Operators) == 0 {
		validator.addFault("Operators", "", "name at least one operator of the shared staff")
	}

	validator.checkPeople("Operators", validator.document.Operators)
}

func (validator *validator) checkPeople(field string, people []string) {
	seen := map[string]bool{}

	for index, person := range people {
		path := fmt.Sprintf("%s[%d]", field, index)

		if !personPattern.MatchString(person) {
			validator.addFault(path, person, personRemedy)
		}

		if seen[person] {
			validator.addFault(path, person, "remove the repetition")
		}

		seen[person] = true
	}
}

// namedItem is an item of one of the document's lists. Its path is the field in
// faults: by name where the name is valid and unique, else by index.
type namedItem[T any] struct {
	path string
	item T
}

// checkNames checks the names of a list's items and returns the items with their
// paths.
func checkNames[T any](validator *validator, field string, items []T, name func(T) string) []namedItem[T] {
	seen := map[string]bool{}
	checked := []namedItem[T]{}

	for index, item := range items {
		itemName := name(item)
		path := fmt.Sprintf("%s[%s]", field, itemName)

		if !namePattern.MatchString(itemName) || seen[itemName] {
			path = fmt.Sprintf("%s[%d]", field, index)
		}

		switch {
		case !namePattern.MatchString(itemName):
			validator.addFault(path+".Name", itemName, nameRemedy)
		case seen[itemName]:
			validator.addFault(path+".Name", itemName, "choose another name; this one is taken in "+field)
		}

		seen[itemName] = true
		checked = append(checked, namedItem[T]{path: path, item: item})
	}

	return checked
}

func (validator *validator) checkFirms() {
	for _, firm := range checkNames(validator, "Firms", validator.document.Firms, func(firm Firm) string { return firm.Name }) {
		validator.checkPeople(firm.path+".Staff", firm.item.Staff)
		validator.checkRange(firm.path+".Share", firm.item.Share, 1, maxShare)
	}
}

func (validator *validator) checkWorkspaces() {
	workspaces := checkNames(validator, "Workspaces", validator.document.Workspaces, func(workspace Workspace) string { return workspace.Name })
	for _, workspace := range workspaces {
		checkReference(validator, workspace.path+".Firm", workspace.item.Firm, validator.firms, "firm")
	}
}

func (validator *validator) checkModels() {
	for _, model := range checkNames(validator, "Models", validator.document.Models, func(model Model) string { return model.Name }) {
		if len(model.item.Versions) == 0 {
			validator.addFault(model.path+".Versions", "", "give at least one version")
		}

		for _, version := range checkNames(validator, model.path+".Versions", model.item.Versions, func(version Version) string { return version.Name }) {
			validator.checkWeights(version.path, version.item.Weights)
		}

		for _, adapter := range checkNames(validator, model.path+".Adapters", model.item.Adapters, func(adapter Adapter) string { return adapter.Name }) {
			validator.checkWeights(adapter.path, adapter.item.Weights)

			if adapter.item.Firm != "" {
				checkReference(validator, adapter.path+".Firm", adapter.item.Firm, validator.firms, "firm")
			}
		}
	}
}

func (validator *validator) checkWeights(path, weights string) {
	if weights == "" || len(weights) > 512 {
		validator.addFault(path+".Weights", weights, "name the weights in the weight store, with at most 512 bytes")
	}
}

func (validator *validator) checkServices() {
	for _, service := range checkNames(validator, "Services", validator.document.Services, func(service Service) string { return service.Name }) {
		if service.item.Firm != "" {
			checkReference(validator, service.path+".Firm", service.item.Firm, validator.firms, "firm")
		}

		if service.item.Policy != "" {
			checkReference(validator, service.path+".Policy", service.item.Policy, validator.policies, "policy")
		}

		validator.checkRange(service.path+".Replicas", service.item.Replicas, 0, maxReplicas)

		switch service.item.Kind {
		case ServiceKindModel:
			validator.checkModelService(service)
		case ServiceKindPlain:
			validator.checkPlainService(service)
		default:
			validator.addFault(service.path+".Kind", service.item.Kind, "use Model or Plain")
		}
	}
}

func (validator *validator) checkModelService(service namedItem[Service]) {
	model, found := validator.models[service.item.Model]
	if !found {
		checkReference(validator, service.path+".Model", service.item.Model, validator.models, "model")

		return
	}

	versions := map[string]bool{}
	for _, version := range model.Versions {
		versions[version.Name] = true
	}

	checkReference(validator, service.path+".Version", service.item.Version, versions, "version of the model "+model.Name)

	if service.item.Adapter == "" {
		return
	}

	adapters := map[string]Adapter{}
	for _, adapter := range model.Adapters {
		adapters[adapter.Name] = adapter
	}

	checkReference(validator, service.path+".Adapter", service.item.Adapter, adapters, "adapter of the model "+model.Name)

	if owner := adapters[service.item.Adapter].Firm; owner != "" && owner != service.item.Firm {
		validator.addFault(service.path+".Adapter", service.item.Adapter, "use an adapter of the service's own firm; this one belongs to "+owner)
	}
}

func (validator *validator) checkPlainService(service namedItem[Service]) {
	for _, field := range []struct{ name, value string }{
		{"Model", service.item.Model},
		{"Version", service.item.Version},
		{"Adapter", service.item.Adapter},
	} {
		if field.value != "" {
			validator.addFault(service.path+"."+field.name, field.value, "leave it empty for a plain service")
		}
	}
}

func (validator *validator) checkPolicies() {
	for _, policy := range checkNames(validator, "Policies", validator.document.Policies, func(policy Policy) string { return policy.Name }) {
		reserve := policy.item.Reserve
		if math.IsNaN(reserve) || reserve < 0 || reserve > 1 {
			validator.addFault(policy.path+".Reserve", reserve, "give a share from 0 to 1")
			validator.notEncodable = validator.notEncodable || math.IsNaN(reserve) || math.IsInf(reserve, 0)
		}

		validator.checkDuration(policy.path+".FirstToken", policy.item.FirstToken)
		validator.checkDuration(policy.path+".TokenInterval", policy.item.TokenInterval)
		validator.checkDuration(policy.path+".MaxWait", policy.item.MaxWait)
	}
}

func (validator *validator) checkDuration(field string, duration Duration) {
	if duration <= 0 || time.Duration(duration) > maxPolicyDuration {
		validator.addFault(field, time.Duration(duration), "give a duration above 0s, at most "+maxPolicyDuration.String())
	}
}

func (validator *validator) checkRange(field string, value, lowest, highest int) {
	if value < lowest || value > highest {
		validator.addFault(field, value, "give a whole number from "+strconv.Itoa(lowest)+" to "+strconv.Itoa(highest))
	}
}

func (validator *validator) checkSize() {
	if validator.notEncodable {
		return
	}

	if bytes := encodedSize(validator.document); bytes > MaxDocumentBytes {
		validator.addFault("(document)", fmt.Sprintf("%d bytes", bytes), fmt.Sprintf("shorten it to at most %d bytes", MaxDocumentBytes))
	}
}

// maxSuggestions is the number of names that a remedy suggests.
const maxSuggestions = 5

func checkReference[T any](validator *validator, field, value string, known map[string]T, kind string) {
	if _, found := known[value]; found {
		return
	}

	names := slices.Sorted(maps.Keys(known))
	// The longest common prefix stands for the closest spelling.
	slices.SortStableFunc(names, func(left, right string) int {
		return cmp.Compare(commonPrefixLength(right, value), commonPrefixLength(left, value))
	})

	remedy := "name a " + kind + " of the document"
	if len(names) > 0 {
		remedy += ", for example " + strings.Join(names[:min(len(names), maxSuggestions)], ", ")
	}

	validator.addFault(field, value, remedy)
}

func commonPrefixLength(left, right string) int {
	length := 0
	for length < min(len(left), len(right)) && left[length] == right[length] {
		length++
	}

	return length
}
