package editor

// Index looks up the items of one document by name. It is immutable, so that a
// request uses one revision from start to end.
type Index struct {
	Document *Document

	workspaces map[string]Workspace
	services   map[string]Service
	firms      map[string]Firm
	policies   map[string]Policy
}

// NewIndex returns an index of a valid document.
func NewIndex(document *Document) *Index {
	index := &Index{
		Document:   document,
		workspaces: map[string]Workspace{},
		services:   map[string]Service{},
		firms:      map[string]Firm{},
		policies:   map[string]Policy{},
	}

	for _, workspace := range document.Workspaces {
		index.workspaces[workspace.Name] = workspace
	}

	for _, service := range document.Services {
		index.services[service.Name] = service
	}

	for _, firm := range document.Firms {
		index.firms[firm.Name] = firm
	}

	for _, policy := range document.Policies {
		index.policies[policy.Name] = policy
	}

	return index
}

// Workspace returns the workspace of that name.
func (index *Index) Workspace(name string) (Workspace, bool) {
	workspace, found := index.workspaces[name]

	return workspace, found
}

// Service returns the service of that name.
func (index *Index) Service(name string) (Service, bool) {
	service, found := index.services[name]

	return service, found
}

// Firm returns the firm of that name.
func (index *Index) Firm(name string) (Firm, bool) {
	firm, found := index.firms[name]

	return firm, found
}

// Policy returns the policy of that name.
func (index *Index) Policy(name string) (Policy, bool) {
	policy, found := index.policies[name]

	return policy, found
}
