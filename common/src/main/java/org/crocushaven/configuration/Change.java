package org.crocushaven.configuration;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A change of the fleet's configuration that an operator requests. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = PublishServices.class, name = "publish"),
    @JsonSubTypes.Type(value = GrantKey.class, name = "grant-key"),
    @JsonSubTypes.Type(value = WithdrawKey.class, name = "withdraw-key"),
    @JsonSubTypes.Type(value = DrainBackendServer.class, name = "drain-backend-server"),
    @JsonSubTypes.Type(value = UndrainBackendServer.class, name = "undrain-backend-server")
})
public sealed interface Change
        permits PublishServices, GrantKey, WithdrawKey, DrainBackendServer, UndrainBackendServer {}
