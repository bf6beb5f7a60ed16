package z3950

import (
	"slices"
	"strconv"
	"strings"

	"rooktrestle/internal/query"
)

// Field values of a database update.
const (
	esFunctionCreate = 1 // create the task package, which performs the task
	esWait           = 1 // respond when the task is completed
)

// Bib-1 diagnostic codes for rejected database updates.
const (
	diagUnsupportedPackageType = 221
	diagUnsupportedFunction    = 223
	diagMalformedTask          = 228
)

// updateActions maps the action codes of a database update to actions.
var updateActions = map[int]query.Action{
	1: query.ActionCreate,
	2: query.ActionReplace,
	3: query.ActionDelete,
}

// UpdateRequest is a decoded database update of one record.
type UpdateRequest struct {
	Database string
	Action   query.Action
	Record   query.Record
}

// Update returns the extended services request for a database update, to which the server responds when the update is
// completed.
func Update(reference, database string, action query.Action, record query.Record) *Node {
	code := 0
	for number, name := range updateActions {
		if name == action {
			code = number
		}
	}
	var content *Node
	if record.XML != "" {
		content = Constructed(fieldSuppliedRecord, externalXML(record.XML))
	}
	toKeep := sequence(Integer(fieldUpdateAction, code), String(fieldUpdateDatabaseName, database))
	supplied := sequence(Constructed(fieldSuppliedID, String(suppliedIDString, record.ID)), content)
	task := Constructed(taskRequest,
		Constructed(fieldUpdateToKeep, toKeep),
		Constructed(fieldUpdateNotToKeep, sequence(supplied)))
	return Constructed(EsRequest,
		String(FieldReferenceID, reference),
		Integer(fieldEsFunction, esFunctionCreate),
		OID(Context, fieldEsPackageType, oidUpdate1),
		Constructed(fieldEsTaskParameters, OID(Universal, tagOID, oidUpdate1), Constructed(externalSingleType, task)),
		Integer(fieldEsWaitAction, esWait))
}

// ParseUpdate decodes a database update. The diagnostic is nil if the update is valid and supported.
func ParseUpdate(pdu *Node) (UpdateRequest, *query.Diagnostic) {
	var request UpdateRequest
	toKeep, supplied, problem := updateTask(pdu)
	if problem != nil {
		return request, problem
	}
	action, found := updateActions[toKeep.Child(fieldUpdateAction).IntOr(0)]
	if !found {
		return request, malformedTask("action")
	}
	request.Action = action
	request.Database = toKeep.Child(fieldUpdateDatabaseName).Text()
	// Only one record is accepted: the response to an update of several could not report which of them were changed.
	if len(supplied.Children) != 1 {
		return request, malformedTask("one record a request")
	}
	record := supplied.Children[0]
	request.Record.ID = suppliedID(record)
	request.Record.XML = parseExternal(record.Child(fieldSuppliedRecord).OnlyChild())
	if request.Record.ID == "" || request.Record.XML == "" && action != query.ActionDelete {
		return request, malformedTask("no record id, or no record")
	}
	return request, nil
}

// updateTask returns the two parts of a database update: action and database name (toKeep), and the list of records
// (supplied).
func updateTask(pdu *Node) (toKeep, supplied *Node, problem *query.Diagnostic) {
	if pdu.Child(fieldEsFunction).IntOr(0) != esFunctionCreate {
		return nil, nil, &query.Diagnostic{Bib1: diagUnsupportedFunction, Details: "function"}
	}
	packageType := pdu.Child(fieldEsPackageType).OID()
	if !strings.HasPrefix(packageType, oidUpdate) {
		return nil, nil, &query.Diagnostic{Bib1: diagUnsupportedPackageType, Details: packageType}
	}
	parameters := pdu.Child(fieldEsTaskParameters)
	// The parameters are an EXTERNAL inside an explicit tag or, with implicit tagging, the content of an EXTERNAL.
	if external := parameters.OnlyChild(); external != nil && external.Class == Universal && external.Tag == tagExternal {
		parameters = external
	}
	task := parameters.Child(externalSingleType).OnlyChild()
	if task == nil || !task.hasTag(taskRequest) {
		return nil, nil, malformedTask("task parameters")
	}
	toKeep = task.Child(fieldUpdateToKeep)
	supplied = task.Child(fieldUpdateNotToKeep)
	if toKeep == nil || supplied == nil {
		return nil, nil, malformedTask("task parameters")
	}
	// The list of records may be inside an explicit tag. A single record is a SEQUENCE too, but of values with context
	// tags.
	list := explicitSequence(supplied)
	if !slices.ContainsFunc(list.Children, func(child *Node) bool { return child.Class != Universal }) {
		supplied = list
	}
	return explicitSequence(toKeep), supplied, nil
}

// suppliedID returns the identifier of a record in a database update, which is a number or a string.
func suppliedID(record *Node) string {
	id := record.Child(fieldSuppliedID).OnlyChild()
	if id != nil && id.hasTag(suppliedIDNumber) {
		return strconv.Itoa(id.IntOr(0))
	}
	return id.Text()
}

// explicitSequence returns the SEQUENCE inside an explicit tag, or n itself if there is none.
func explicitSequence(n *Node) *Node {
	if child := n.OnlyChild(); child != nil && child.Class == Universal && child.Tag == TagSequence {
		return child
	}
	return n
}

func malformedTask(details string) *query.Diagnostic {
	return &query.Diagnostic{Bib1: diagMalformedTask, Details: details}
}
