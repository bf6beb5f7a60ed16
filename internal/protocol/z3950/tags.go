package z3950

// Object identifiers of attribute sets, diagnostics, record syntaxes and extended services.
const (
	oidStandard = "1.2.840.10003."
	oidBib1     = oidStandard + "3.1"
	oidDiag     = oidStandard + "4.1"
	OidSUTRS    = oidStandard + "5.101"    // record syntax: plain text
	OidXML      = oidStandard + "5.109.10" // record syntax: XML
	oidUpdate   = oidStandard + "9.5"      // database update, in any of its revisions
	oidUpdate1  = oidStandard + "9.5.1.1"
)

// Context tags of the PDUs.
const (
	InitRequest     = 20
	InitResponse    = 21
	SearchRequest   = 22
	SearchResponse  = 23
	PresentRequest  = 24
	PresentResponse = 25
	DeleteRequest   = 26 // of result sets
	DeleteResponse  = 27
	TriggerControl  = 32 // TriggerResourceControl, such as a cancellation
	EsRequest       = 46 // extended services
	EsResponse      = 47
	ClosePDU        = 48
)

// Context tags of fields that occur in several types of PDU.
const (
	FieldReferenceID      = 2
	FieldRecordsReturned  = 24
	FieldNextPosition     = 25
	FieldPresentStatus    = 27
	FieldRecords          = 28
	FieldDatabaseName     = 105
	FieldRecordSyntax     = 104
	FieldDiagnostic       = 130
	fieldMultiDiagnostics = 205
)

// Context tags of the fields of Init.
const (
	FieldVersion               = 3
	FieldOptions               = 4
	FieldPreferredMessageSize  = 5
	FieldExceptionalRecordSize = 6
	FieldAuthentication        = 7
	FieldInitResult            = 12
	FieldImplementationID      = 110
	FieldImplementationName    = 111
	FieldUserID                = 1 // in an authentication by user and password
)

// Context tags of the fields of Search.
const (
	FieldSmallSetUpperBound     = 13
	FieldLargeSetLowerBound     = 14
	FieldMediumSetPresentNumber = 15
	FieldReplaceIndicator       = 16
	FieldResultSetName          = 17
	FieldDatabaseNames          = 18
	FieldQuery                  = 21
	FieldSearchStatus           = 22
	FieldResultCount            = 23
	FieldResultSetStatus        = 26
)

// Context tags of the fields of Present.
const (
	FieldRecordsRequested = 29
	FieldStartPoint       = 30
	FieldResultSetID      = 31
	FieldAdditionalRanges = 212
)

// Context tags of the fields of Delete, TriggerControl and Close.
const (
	FieldDeleteFunction        = 32
	FieldDeleteOperationStatus = 0
	FieldRequestedAction       = 46
	FieldCloseReason           = 211
	FieldCloseInformation      = 3
)

// Context tags of the fields of extended services.
const (
	fieldEsFunction         = 3
	fieldEsPackageType      = 4
	fieldEsTaskParameters   = 10
	fieldEsWaitAction       = 11
	FieldEsOperationStatus  = 3
	FieldEsDiagnostics      = 4
	fieldUpdateToKeep       = 1 // of a database update: its action and database
	fieldUpdateNotToKeep    = 2 // of a database update: its records
	fieldUpdateAction       = 1
	fieldUpdateDatabaseName = 2
	taskRequest             = 1 // esRequest in the task parameters: the task that the origin requests
	fieldSuppliedID         = 1 // of a record in a database update
	suppliedIDNumber        = 1
	suppliedIDString        = 2
	fieldSuppliedRecord     = 4
)

// Context tags within a type-1 query (RPN).
const (
	queryType1          = 1
	rpnOperand          = 0
	rpnOperation        = 1
	rpnOperator         = 46
	operandResultSet    = 31
	operandClause       = 102
	clauseAttributes    = 44
	clauseGeneralTerm   = 45
	clauseCharacterTerm = 216
	attributeSet        = 1
	attributeType       = 120
	attributeValue      = 121
)

// Values of the reason field of Close.
const (
	CloseFinished = 0
	CloseShutdown = 1
	CloseLimits   = 4 // resources are exhausted
	CloseProtocol = 6 // protocol error
	CloseIdle     = 7 // lack of activity
)

// Bits of the options that Init negotiates.
const (
	OptSearch  = 0
	OptPresent = 1
	OptDelete  = 2
	OptTrigger = 6  // trigger of resource control
	OptES      = 13 // extended services
	OptNamed   = 14 // named result sets
)
